#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

namespace foxtailbarrow {

/// Time span used by all decision logic, in microseconds.
using Duration = std::chrono::microseconds;

/// CLOCK_BOOTTIME, which also advances while the machine is suspended.
/// std::chrono::steady_clock stops meanwhile: after 5 s of suspension a lease
/// of 3.5 s, expired for every other process, would still be valid here. A
/// separate type, so that the two clocks cannot be mixed. Timers may use the
/// steady clock where a late wake-up is harmless.
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

/// Monotonic time of one process. Passed into decision logic as `aNow`; not
/// comparable between processes.
using Instant = BootClock::time_point;

/// Whole milliseconds, truncated; for logs and messages.
constexpr std::int64_t WholeMilliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

/// Reads the process's monotonic clock. For I/O code only: decision logic takes
/// the time as an argument.
inline Instant MonotonicNow()
{
  return BootClock::now();
}

/// This machine's wall clock in milliseconds since 1970; it may jump. For I/O
/// code only, as MonotonicNow().
inline std::int64_t UnixMsNow()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

} // namespace foxtailbarrow
