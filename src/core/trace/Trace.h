#pragma once

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"

#include "src/core/trace/TraceEvents.h"
#include "src/core/trace/TraceHeader.h"

namespace foxtailbarrow {

/// A recorded or generated workload. docs/TRACES.md describes its text format,
/// JSON lines.
struct Trace
{
  TraceHeader mHeader;
  std::vector<TraceEvent> mEvents; ///< In order of time.

  bool operator==(const Trace&) const = default;
};

/// Parses a trace strictly. InvalidArgument lists the first problems with line
/// number, field, value found and values allowed. Besides each line, checks
/// that the header is the first line and the only one, times do not decrease
/// and lie within the duration, job ids are unique, and only earlier jobs are
/// cancelled.
absl::StatusOr<Trace> ParseTrace(std::string_view aText);

/// Inverse of ParseTrace().
std::string FormatTrace(const Trace& aTrace);

} // namespace foxtailbarrow
