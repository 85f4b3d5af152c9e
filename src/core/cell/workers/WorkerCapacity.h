#pragma once

#include <map>

#include "foxtailbarrow/Resources.h"
#include "src/core/cell/CellSettings.h"
#include "src/core/cell/JobGraph.h"
#include "src/core/cell/workers/WorkerEntry.h"

/// Capacity of workers: what tasks reserve and use, and what remains.
namespace foxtailbarrow::cell {

using WorkerTable = std::map<AgentId, WorkerEntry>;

/// Resources that a task of the step reserves on a worker.
Resources Reservation(const StepSpec& aSpec);

/// Adds the task to the worker's use; removes it if `aSign` is -1.
void CountUse(WorkerUse& aUse,
              const JobId& aJob,
              const StepSpec& aSpec,
              int aSign);

/// Millicores expected to be available to best-effort tasks of the worker.
double BestEffortMillicores(const WorkerEntry& aWorker,
                            const CellSettings& aSettings);

/// Reserved share of the worker's processors.
double ReservedShare(const WorkerEntry& aWorker);

/// Millicores of all attached workers.
std::int64_t CapacityOf(const WorkerTable& aWorkers);

/// Reserved share of the processors of all attached workers.
double ReservedShareOf(const WorkerTable& aWorkers);

} // namespace foxtailbarrow::cell
