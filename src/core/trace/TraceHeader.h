#pragma once

#include <cstdint>
#include <string>

#include "src/core/trace/ExpectedOutcomes.h"

namespace foxtailbarrow {

/// Version of the trace format that is read and written.
inline constexpr std::uint32_t kTraceFormat = 1;

/// First line of a trace.
struct TraceHeader
{
  std::uint32_t mFormat = kTraceFormat;
  std::string mDeployment;
  std::uint64_t mSeed = 0; ///< Generator seed; 0 for a recorded trace.
  std::int64_t mDurationMs = 0;
  ExpectedOutcomes mOutcomes;

  bool operator==(const TraceHeader&) const = default;
};

} // namespace foxtailbarrow
