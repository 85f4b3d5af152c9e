#pragma once

#include <optional>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::cell {

/// Foresees when the next look at a worker comes: as late as the latest one of
/// the last few seconds. Pure.
class PollIntervalEstimator
{
public:
  void Update(Instant aNow);

  /// Between two looks; zero before the second one.
  Duration Expected() const { return mLongest; }

private:
  std::optional<Instant> mLastPoll;
  Duration mLongest{};
  Instant mLongestAt{};
};

} // namespace foxtailbarrow::cell
