#pragma once

#include <cstdint>

namespace foxtailbarrow {

/// What a replay of a trace must show. Stated in the trace's header; a replay
/// that misses one of them fails. Wrong, doubled and lost work is never
/// allowed, so that it has no bound here.
struct ExpectedOutcomes
{
  double mMaxP99Ms = 0.0;          ///< Latency from due time to whole answer.
  double mMinAnswered = 1.0;       ///< Requests with a whole answer, 0..1.
  double mMaxNotRunShare = 0.0;    ///< Requests told "not run" at last, 0..1.
  double mMinJobsAsExpected = 1.0; ///< Jobs that end as their lines say, 0..1.
  std::int64_t mMaxEvictions = 0;
  /// Time after the last line within which jobs must end, in milliseconds.
  std::int64_t mJobsDeadlineMs = 0;

  bool operator==(const ExpectedOutcomes&) const = default;
};

} // namespace foxtailbarrow
