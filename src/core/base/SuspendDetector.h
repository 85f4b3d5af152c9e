#pragma once

#include <chrono>
#include <optional>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow {

/// Finds out that the machine was suspended, by a clock that stands still
/// meanwhile. Pure. What ends by a lease is judged by BootClock and needs no
/// more; this is for what a process believes until it hears otherwise.
class SuspendDetector
{
public:
  /// Nothing of ours is believed for less than 2 s without a word, so that a
  /// shorter suspension changes nothing; and a process that waits for its
  /// processor between the readings of two clocks seems suspended.
  static constexpr Duration kMinSuspension = std::chrono::milliseconds(500);

  using SteadyTime = std::chrono::steady_clock::time_point;

  /// How long the machine was suspended since the last look, if it was.
  std::optional<Duration> Poll(Instant aNow, SteadyTime aSteady)
  {
    const Duration ahead =
      aNow.time_since_epoch() -
      std::chrono::duration_cast<Duration>(aSteady.time_since_epoch());
    const Duration slept =
      mClockOffset ? ahead - *mClockOffset : Duration::zero();
    mClockOffset = ahead;
    return slept >= kMinSuspension ? std::optional(slept) : std::nullopt;
  }

private:
  std::optional<Duration> mClockOffset; ///< Of the boot clock.
};

} // namespace foxtailbarrow
