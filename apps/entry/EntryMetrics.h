#pragma once

#include "src/core/job/JobScheduler.h"
#include "src/platform/store/StoreCallCounts.h"
#include "src/telemetry/Metrics.h"

/// Metrics that sample counters of other components. The arguments must outlive
/// the last call of Metrics::Text(), which runs on the control thread.
namespace foxtailbarrow::entry {

/// `store_calls` by kind.
void AddStoreMetrics(Metrics& aMetrics, const StoreCallCounts& aCounts);

/// `job_events` by kind of event.
void AddJobMetrics(Metrics& aMetrics, const JobScheduler& aScheduler);

} // namespace foxtailbarrow::entry
