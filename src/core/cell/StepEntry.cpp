#include "src/core/cell/StepEntry.h"

namespace foxtailbarrow::cell {

const TaskEntry& StepEntry::UntouchedTask()
{
  static const TaskEntry kTask;
  return kTask;
}

const TaskEntry& StepEntry::DoneTask()
{
  static const TaskEntry kTask = [] {
    TaskEntry task;
    task.mDone = true;
    return task;
  }();
  return kTask;
}

const TaskEntry& StepEntry::Task(std::int32_t aIndex) const
{
  if (const auto found = mTouched.find(aIndex); found != mTouched.end()) {
    return found->second;
  }
  const bool done = !mDone.empty() && mDone[static_cast<std::size_t>(aIndex)];
  return done ? DoneTask() : UntouchedTask();
}

TaskEntry& StepEntry::Touch(std::int32_t aIndex)
{
  const bool done = Task(aIndex).mDone;
  TaskEntry& task = mTouched[aIndex];
  task.mDone = done;
  return task;
}

bool StepEntry::MarkDone(std::int32_t aIndex)
{
  if (Task(aIndex).mDone) {
    return false;
  }
  mDone.resize(static_cast<std::size_t>(mSize));
  mDone[static_cast<std::size_t>(aIndex)] = true;
  if (const auto found = mTouched.find(aIndex); found != mTouched.end()) {
    found->second.mDone = true;
  }
  --mTasksLeft;
  return true;
}

std::int32_t StepEntry::IdleTasks() const
{
  const auto running = std::ranges::count_if(mTouched, [](const auto& aEntry) {
    return !aEntry.second.mDone && !aEntry.second.mRuns.empty();
  });
  return mTasksLeft - static_cast<std::int32_t>(running);
}

bool StepEntry::HasIdle() const
{
  return mTasksLeft > 0 && IdleTasks() > 0;
}

bool StepEntry::HasRuns() const
{
  return std::ranges::any_of(
    mTouched, [](const auto& aEntry) { return !aEntry.second.mRuns.empty(); });
}

Instant StepEntry::IdleSince() const
{
  Instant since = mCompactedIdleSince;
  for (const auto& [index, task] : mTouched) {
    since = std::max(since, task.mIdleSince);
  }
  return since;
}

void StepEntry::Compact()
{
  std::erase_if(mTouched, [this](const auto& aEntry) {
    const TaskEntry& task = aEntry.second;
    if (!task.mRuns.empty() || !(task.mDone || task.NeverStarted())) {
      return false;
    }
    mCompactedIdleSince = std::max(mCompactedIdleSince, task.mIdleSince);
    return true;
  });
}

} // namespace foxtailbarrow::cell
