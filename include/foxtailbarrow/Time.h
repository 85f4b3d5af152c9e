#pragma once

#include <chrono>
#include <cstdint>

namespace foxtailbarrow {

/// Time span used by all decision logic, in microseconds.
using Duration = std::chrono::microseconds;

/// Monotonic time of one process. Passed into decision logic as `aNow`; never
/// compared between processes.
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

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
  return std::chrono::time_point_cast<Duration>(
    std::chrono::steady_clock::now());
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
