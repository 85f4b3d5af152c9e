#pragma once

#include <chrono>

namespace foxtailbarrow {

/// Time span used by all decision logic, in microseconds.
using Duration = std::chrono::microseconds;

/// Monotonic time of one process. Passed into decision logic as `aNow`; never
/// compared between processes.
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Reads the process's monotonic clock. For shells only: decision logic takes
/// the time as an argument.
inline Instant MonotonicNow()
{
  return std::chrono::time_point_cast<Duration>(
    std::chrono::steady_clock::now());
}

} // namespace foxtailbarrow
