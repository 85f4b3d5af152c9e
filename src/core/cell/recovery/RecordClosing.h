#pragma once

#include <vector>

#include "foxtailbarrow/Time.h"
#include "src/core/cell/TaskRef.h"
#include "src/core/cell/workers/WorkerEntry.h"

/// Closed records of agents. A next owner concludes of a task that a closed
/// record does not name, and of every task once the record is removed, that no
/// run of it is on the worker and that the saved progress includes each end of
/// it that the worker still lists.
namespace foxtailbarrow::cell {

/// How long a worker is detached before its record is closed. Most agents
/// attach again at once; closing and opening the record would delay the first
/// start there by two writes.
inline constexpr Duration kCloseAfterDetached = std::chrono::milliseconds(500);

/// True if nothing will be started on the worker for some time: it drains, or
/// its agent does not answer. For a worker that has attached in this term.
bool ShouldCloseRecord(const WorkerEntry& aWorker, Instant aNow);

/// The tasks that the record has to name: those that may run on the worker, and
/// those with an end there that is not saved. Without any, the record of a lost
/// worker may be removed. The list gets shorter only after the store has
/// acknowledged the progress.
std::vector<TaskRef> TasksToAwait(
  const WorkerEntry& aWorker,
  const EndAcknowledger::SavedVersion& aSavedVersion);

} // namespace foxtailbarrow::cell
