#pragma once

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"

#include "src/core/trace/TraceEvents.h"
#include "src/core/trace/TraceHeader.h"

namespace foxtailbarrow {

/// A recorded or generated stretch of work. The text form, JSON lines, is
/// documented in docs/TRACES.md.
struct Trace
{
  TraceHeader mHeader;
  std::vector<TraceEvent> mEvents; ///< In order of time.

  bool operator==(const Trace&) const = default;
};

/// Reads a whole trace. Strict: InvalidArgument lists the first problems, each
/// with its line number, field, the value found and what is allowed. Checks
/// each line and what the lines mean together: one header, first; times that
/// never descend and lie within the duration; job ids used once; cancels of
/// earlier jobs alone.
absl::StatusOr<Trace> ParseTrace(std::string_view aText);

/// Reverse of ParseTrace().
std::string FormatTrace(const Trace& aTrace);

} // namespace foxtailbarrow
