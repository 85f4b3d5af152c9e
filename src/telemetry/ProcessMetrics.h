#pragma once

#include "foxtailbarrow/Time.h"
#include "src/telemetry/Metrics.h"

namespace foxtailbarrow {

/// User and system time of this process so far.
Duration ProcessorTime();

/// Registers the resource usage of this process, read from the system at each
/// scrape: `process_cpu_seconds` (user and system time since the start) and
/// `process_resident_bytes`.
void AddProcessMetrics(Metrics& aMetrics);

} // namespace foxtailbarrow
