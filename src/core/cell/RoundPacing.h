#pragma once

#include <algorithm>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::cell {

/// Spaces rounds of placing, so that an owner has time left for reports and
/// orders when rounds get long. Pure.
class RoundPacing
{
public:
  /// Events that come within this are decided on together.
  static constexpr Duration kBatchingTime = std::chrono::milliseconds(2);
  /// Share of the time that rounds may take. A task waits for half of the time
  /// between two rounds on average.
  static constexpr double kShare = 0.15;
  /// However long rounds take, one comes so often: what lapses is seen then.
  static constexpr Duration kLongestPause = std::chrono::milliseconds(100);

  void RecordRound(Duration aTook)
  {
    const auto pause = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, Duration::period>(aTook) * (1.0 - kShare) /
      kShare);
    mPause = std::clamp<Duration>(pause, kBatchingTime, kLongestPause);
  }

  /// From the wish for a round, or the end of the last one, to the next.
  Duration Pause() const { return mPause; }

  /// True while rounds are further apart than events are gathered.
  bool Stretched() const { return mPause > kBatchingTime; }

private:
  Duration mPause = kBatchingTime;
};

} // namespace foxtailbarrow::cell
