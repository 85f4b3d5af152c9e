#include "src/core/cell/recovery/RecordClosing.h"

#include <set>
#include <utility>

namespace foxtailbarrow::cell {

bool ShouldCloseRecord(const WorkerEntry& aWorker, Instant aNow)
{
  switch (aWorker.mLink) {
    case WorkerLink::Attached:
      return aWorker.mInfo.mDraining;
    case WorkerLink::Detached:
      return aNow - aWorker.mDetachedAt >= kCloseAfterDetached;
    case WorkerLink::Lost:
      return false; // Its record is removed.
  }
  return false;
}

std::vector<TaskRef> TasksToAwait(
  const WorkerEntry& aWorker,
  const EndAcknowledger::SavedVersion& aSavedVersion)
{
  std::set<TaskRef> tasks;
  if (aWorker.mLink != WorkerLink::Lost) {
    for (const auto& [task, run] : aWorker.mRuns) {
      tasks.insert(task);
    }
    for (const auto& [task, run] : aWorker.mForeign) {
      tasks.insert(task);
    }
  }
  for (TaskRef& task : aWorker.mEnds.Unsaved(aSavedVersion)) {
    tasks.insert(std::move(task));
  }
  return { tasks.begin(), tasks.end() };
}

} // namespace foxtailbarrow::cell
