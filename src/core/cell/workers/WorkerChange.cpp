#include "src/core/cell/workers/WorkerChange.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>

namespace foxtailbarrow::cell {

namespace {

using RunKey = std::tuple<std::string_view, // The job.
                          std::int32_t,
                          std::int32_t,
                          std::int32_t,
                          RunNumber>;

/// Refers to the task's job id, which must outlive the key.
RunKey KeyOf(const TaskRef& aTask, RunNumber aRun)
{
  return {
    aTask.mJob.Value(), aTask.mOccurrence, aTask.mStep, aTask.mIndex, aRun
  };
}

std::map<RunKey, const RunningTask*> ByKey(
  const std::vector<RunningTask>& aRunning)
{
  std::map<RunKey, const RunningTask*> byKey;
  for (const RunningTask& task : aRunning) {
    byKey.emplace(KeyOf(task.mTask, task.mRun), &task);
  }
  return byKey;
}

std::int64_t NewestEnd(const WorkerState& aState)
{
  return aState.mEnded.empty() ? 0 : aState.mEnded.back().mNumber;
}

} // namespace

WorkerChange ChangeBetween(const WorkerState& aBefore,
                           const WorkerState& aNow,
                           TaskDetail aDetail)
{
  WorkerChange change;
  change.mFigures = aDetail == TaskDetail::Figures;
  if (aNow.mInfo != aBefore.mInfo) {
    change.mInfo = aNow.mInfo;
  }
  auto before = ByKey(aBefore.mRunning);
  for (const RunningTask& task : aNow.mRunning) {
    const auto known = before.find(KeyOf(task.mTask, task.mRun));
    if (known == before.end()) {
      change.mRunning.push_back(task);
      continue;
    }
    if (aDetail == TaskDetail::Figures && *known->second != task) {
      change.mRunning.push_back(task);
    }
    before.erase(known);
  }
  for (const auto& [key, task] : before) {
    change.mRemoved.push_back({ task->mTask, task->mRun });
  }
  const std::int64_t newest = NewestEnd(aBefore);
  for (const EndedTask& ended : aNow.mEnded) {
    if (ended.mNumber > newest) {
      change.mEnded.push_back(ended);
    }
  }
  return change;
}

void Apply(const WorkerChange& aChange, WorkerState& aState)
{
  if (aChange.mInfo) {
    aState.mInfo = *aChange.mInfo;
  }
  if (!aChange.mRemoved.empty()) {
    std::set<RunKey> removed;
    for (const RunRef& run : aChange.mRemoved) {
      removed.insert(KeyOf(run.mTask, run.mRun));
    }
    std::erase_if(aState.mRunning, [&](const RunningTask& aTask) {
      return removed.contains(KeyOf(aTask.mTask, aTask.mRun));
    });
  }
  std::map<RunKey, RunningTask*> known;
  for (RunningTask& task : aState.mRunning) {
    known.emplace(KeyOf(task.mTask, task.mRun), &task);
  }
  std::vector<RunningTask> added;
  for (const RunningTask& task : aChange.mRunning) {
    if (const auto found = known.find(KeyOf(task.mTask, task.mRun));
        found != known.end()) {
      found->second->mCheckpoint = task.mCheckpoint;
      found->second->mPercent = task.mPercent;
      found->second->mFigure = task.mFigure;
    } else {
      added.push_back(task);
    }
  }
  aState.mRunning.insert(aState.mRunning.end(), added.begin(), added.end());
  if (!aChange.mEnded.empty()) {
    aState.mEnded = aChange.mEnded;
  }
}

} // namespace foxtailbarrow::cell
