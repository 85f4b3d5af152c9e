#pragma once

#include <vector>

#include "foxtailbarrow/Time.h"
#include "src/core/cell/TaskRef.h"
#include "src/core/cell/workers/WorkerEntry.h"

/// Closed records of agents: a next owner waits only for the tasks that such a
/// record names.
namespace foxtailbarrow::cell {

/// How long a worker is detached before its record is closed. Most agents
/// attach again at once; closing and opening the record would delay the first
/// start there by two writes.
inline constexpr Duration kCloseAfterDetached = std::chrono::milliseconds(500);

/// True if nothing will be started on the worker for some time: it drains, or
/// its agent does not answer. For a worker that has attached in this term.
bool ShouldCloseRecord(const WorkerEntry& aWorker, Instant aNow);

/// Every task that may run on the worker or whose end there is not
/// acknowledged. A task whose end is not saved must not be started elsewhere:
/// the worker still lists the end.
std::vector<TaskRef> TasksThatMayRunOn(const WorkerEntry& aWorker);

} // namespace foxtailbarrow::cell
