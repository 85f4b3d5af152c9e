#include "src/core/cell/records/EndAcknowledger.h"

namespace foxtailbarrow::cell {

void EndAcknowledger::Reset(const WorkerIncarnation& aIncarnation)
{
  *this = EndAcknowledger();
  mIncarnation = aIncarnation;
}

void EndAcknowledger::Add(std::int64_t aNumber,
                          const TaskRef& aTask,
                          std::uint64_t aVersion)
{
  mLastNumber = aNumber;
  mPending.push_back({ aNumber, aTask, aVersion });
}

std::int64_t EndAcknowledger::Acknowledge(const SavedVersion& aSavedVersion)
{
  while (!mPending.empty() && IsSaved(mPending.front(), aSavedVersion)) {
    mAcknowledged = mPending.front().mNumber;
    mPending.pop_front();
  }
  return mAcknowledged;
}

std::vector<TaskRef> EndAcknowledger::Unsaved(
  const SavedVersion& aSavedVersion) const
{
  std::vector<TaskRef> tasks;
  for (const PendingEnd& end : mPending) {
    if (!IsSaved(end, aSavedVersion)) {
      tasks.push_back(end.mTask);
    }
  }
  return tasks;
}

} // namespace foxtailbarrow::cell
