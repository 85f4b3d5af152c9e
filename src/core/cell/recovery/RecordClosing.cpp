#include "src/core/cell/recovery/RecordClosing.h"

#include <set>

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

std::vector<TaskRef> TasksThatMayRunOn(const WorkerEntry& aWorker)
{
  std::set<TaskRef> tasks;
  for (const auto& [task, run] : aWorker.mRuns) {
    tasks.insert(task);
  }
  for (const auto& [task, run] : aWorker.mForeign) {
    tasks.insert(task);
  }
  for (const EndedTask& ended : aWorker.mReported.mEnded) {
    tasks.insert(ended.mTask);
  }
  return { tasks.begin(), tasks.end() };
}

} // namespace foxtailbarrow::cell
