#pragma once

#include <chrono>
#include <optional>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow {

/// Detects that the machine was suspended, by comparing the boot clock with the
/// steady clock, which is stopped meanwhile. Leases do not need it, since they
/// expire by BootClock; it is for state that a process assumes to be valid
/// until it is notified otherwise.
class SuspendDetector
{
public:
  /// Shorter ones are ignored: all such state is assumed valid for at least 2 s
  /// without news, so that they change nothing, and a process preempted between
  /// the readings of the two clocks appears to have been suspended.
  static constexpr Duration kMinSuspension = std::chrono::milliseconds(500);

  using SteadyTime = std::chrono::steady_clock::time_point;

  /// Duration of a suspension since the last call, if there was one.
  std::optional<Duration> Poll(Instant aNow, SteadyTime aSteady)
  {
    const Duration offset =
      aNow.time_since_epoch() -
      std::chrono::duration_cast<Duration>(aSteady.time_since_epoch());
    const Duration suspended =
      mClockOffset ? offset - *mClockOffset : Duration::zero();
    mClockOffset = offset;
    return suspended >= kMinSuspension ? std::optional(suspended)
                                       : std::nullopt;
  }

private:
  std::optional<Duration> mClockOffset; ///< Boot clock minus steady clock.
};

} // namespace foxtailbarrow
