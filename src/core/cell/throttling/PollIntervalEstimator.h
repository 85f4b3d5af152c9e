#pragma once

#include <optional>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::cell {

/// Predicts the interval to the next poll of a worker: the longest one of the
/// last few seconds. Does no I/O.
class PollIntervalEstimator
{
public:
  void Update(Instant aNow);

  /// Interval between two polls; zero before the second one.
  Duration Expected() const { return mLongest; }

private:
  std::optional<Instant> mLastPoll;
  Duration mLongest{};
  Instant mLongestAt{};
};

} // namespace foxtailbarrow::cell
