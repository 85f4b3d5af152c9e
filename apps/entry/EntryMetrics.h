#pragma once

#include "src/core/job/JobScheduler.h"
#include "src/platform/store/StoreCallCounts.h"
#include "src/telemetry/Metrics.h"

/// Metrics that are read from counters kept elsewhere. The arguments must
/// outlive `aMetrics`' last Text(), which runs on the control thread.
namespace foxtailbarrow::entry {

/// `store_calls` by kind.
void AddStoreMetrics(Metrics& aMetrics, const StoreCallCounts& aCounts);

/// `job_events` by what became of jobs and their records.
void AddJobMetrics(Metrics& aMetrics, const JobScheduler& aScheduler);

} // namespace foxtailbarrow::entry
