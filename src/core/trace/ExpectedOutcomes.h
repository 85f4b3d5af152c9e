#pragma once

#include <cstdint>

namespace foxtailbarrow {

/// Bounds on the results of a replay, given in the trace's header. A replay
/// that misses any of them fails. Wrong, repeated and lost work is never
/// allowed and therefore has no bound here.
struct ExpectedOutcomes
{
  double mMaxP99Ms = 0.0;       ///< From due time to complete response.
  double mMinAnswered = 1.0;    ///< Share of requests answered, 0..1.
  double mMaxNotRunShare = 0.0; ///< Share of requests finally not run, 0..1.
  /// Share of jobs with their end state, 0..1.
  double mMinJobsAsExpected = 1.0;
  std::int64_t mMaxEvictions = 0;
  /// Milliseconds after the end of the trace within which jobs must end.
  std::int64_t mJobsDeadlineMs = 0;

  bool operator==(const ExpectedOutcomes&) const = default;
};

} // namespace foxtailbarrow
