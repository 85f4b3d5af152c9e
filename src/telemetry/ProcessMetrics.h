#pragma once

#include "foxtailbarrow/Time.h"
#include "src/telemetry/Metrics.h"

namespace foxtailbarrow {

/// Processor time of this process so far: its own and the system's for it.
Duration ProcessorTime();

/// Registers what this process costs its VM, read from the system at each
/// scrape: `process_cpu_seconds` (user and system time since the start) and
/// `process_resident_bytes`.
void AddProcessMetrics(Metrics& aMetrics);

} // namespace foxtailbarrow
