#pragma once

#include <map>
#include <optional>

#include "foxtailbarrow/Time.h"
#include "src/core/cell/CellSettings.h"
#include "src/core/cell/JobEntry.h"
#include "src/core/cell/WorkerEntry.h"

namespace foxtailbarrow::cell {

using WorkerTable = std::map<AgentId, WorkerEntry>;

/// What a task of the step reserves on a worker.
Resources Reservation(const StepSpec& aSpec);

/// Adds the task to the worker's use, or with -1 takes it away.
void CountUse(WorkerUse& aUse, const StepSpec& aSpec, int aSign);

/// Millicores that the worker is expected to leave to leftover tasks.
double LeftoverMillicores(const WorkerEntry& aWorker,
                          const CellSettings& aSettings);

/// Picks the worker for one more run of a task, or none when no worker may take
/// it now. Serving tasks are packed together, leftover tasks go where most is
/// left for them, other tasks to the least used worker. Workers on which the
/// task failed before, or that hold another run of it, come last or not at all.
std::optional<AgentId> ChooseWorker(const WorkerTable& aWorkers,
                                    JobEntry& aJob,
                                    const TaskRef& aTask,
                                    const CellSettings& aSettings,
                                    Instant aNow);

} // namespace foxtailbarrow::cell
