#pragma once

#include <map>

#include "foxtailbarrow/Resources.h"
#include "src/core/cell/CellSettings.h"
#include "src/core/cell/JobGraph.h"
#include "src/core/cell/WorkerEntry.h"

/// What tasks take of a worker, and what is left.
namespace foxtailbarrow::cell {

using WorkerTable = std::map<AgentId, WorkerEntry>;

/// What a task of the step reserves on a worker.
Resources Reservation(const StepSpec& aSpec);

/// Adds the task to the worker's use, or with -1 takes it away.
void CountUse(WorkerUse& aUse,
              const JobId& aJob,
              const StepSpec& aSpec,
              int aSign);

/// Millicores that the worker is expected to leave to leftover tasks.
double BestEffortMillicores(const WorkerEntry& aWorker,
                            const CellSettings& aSettings);

/// Reserved share of the worker's processors.
double ReservedShare(const WorkerEntry& aWorker);

/// Reserved share of the processors of all attached workers.
double ReservedShareOf(const WorkerTable& aWorkers);

} // namespace foxtailbarrow::cell
