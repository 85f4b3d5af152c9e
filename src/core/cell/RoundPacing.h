#pragma once

#include <algorithm>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::cell {

/// Spaces scheduling rounds, so that an owner has time left for reports and
/// orders when rounds get long. Does no I/O.
class RoundPacing
{
public:
  /// Events within this time are handled by one round.
  static constexpr Duration kBatchingTime = std::chrono::milliseconds(2);
  /// Share of the time that rounds may take. On average a task waits for half
  /// the time between two rounds.
  static constexpr double kShare = 0.15;
  /// A round starts at least this often, however long rounds take: expiries are
  /// detected in it.
  static constexpr Duration kMaxPause = std::chrono::milliseconds(100);

  void RecordRound(Duration aTook)
  {
    const auto pause = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, Duration::period>(aTook) * (1.0 - kShare) /
      kShare);
    mPause = std::clamp<Duration>(pause, kBatchingTime, kMaxPause);
  }

  /// From the request for a round, or the end of the last one, to the next.
  Duration Pause() const { return mPause; }

  /// True while rounds are further apart than kBatchingTime.
  bool Stretched() const { return mPause > kBatchingTime; }

private:
  Duration mPause = kBatchingTime;
};

} // namespace foxtailbarrow::cell
