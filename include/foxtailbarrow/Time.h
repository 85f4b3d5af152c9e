#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

namespace foxtailbarrow {

/// Time span used by all decision logic, in microseconds.
using Duration = std::chrono::microseconds;

/// Time that goes on while the machine is suspended, as it does for every other
/// machine: CLOCK_BOOTTIME. std::chrono::steady_clock stands still meanwhile,
/// so that after 5 s of suspension a lease of 3.5 s that others have waited out
/// would still be in force here. A type of its own: the two do not mix. Timers
/// may use the steady clock, where waking late does no harm.
struct BootClock
{
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock, duration>;
  static constexpr bool is_steady = true; // NOLINT: the standard's names.

  static time_point now() noexcept // NOLINT
  {
    std::timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time); // Cannot fail for this clock.
    return time_point(std::chrono::duration_cast<duration>(
      std::chrono::seconds(time.tv_sec) +
      std::chrono::nanoseconds(time.tv_nsec)));
  }
};

/// Monotonic time of one process. Passed into decision logic as `aNow`; never
/// compared between processes.
using Instant = BootClock::time_point;

/// Rounded down; for logs and messages.
constexpr std::int64_t WholeMilliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

/// Reads the process's monotonic clock. For shells only: decision logic takes
/// the time as an argument.
inline Instant MonotonicNow()
{
  return BootClock::now();
}

/// Time of day in milliseconds since 1970, as this machine has it. For shells
/// only, as MonotonicNow(); it may jump.
inline std::int64_t UnixMsNow()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

} // namespace foxtailbarrow
