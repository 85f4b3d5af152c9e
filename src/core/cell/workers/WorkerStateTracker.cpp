#include "src/core/cell/workers/WorkerStateTracker.h"

#include <algorithm>

namespace foxtailbarrow::cell {

void WorkerStateTracker::Reset()
{
  *this = WorkerStateTracker();
}

void WorkerStateTracker::OnSent(const TaskRef& aTask, RunNumber aRun)
{
  mSent.insert({ aTask, aRun });
}

void WorkerStateTracker::OnNotStarted(const TaskRef& aTask, RunNumber aRun)
{
  mSent.erase({ aTask, aRun });
}

void WorkerStateTracker::OnStarted(const TaskRef& aTask,
                                   RunNumber aRun,
                                   Instant aAnsweredAt)
{
  mSent.erase({ aTask, aRun });
  if (!Knows(aTask, aRun)) {
    mStarted[{ aTask, aRun }] = aAnsweredAt;
    mSince.try_emplace({ aTask, aRun }, aAnsweredAt);
  }
}

bool WorkerStateTracker::OnPoll(const PollReply& aReply,
                                Instant aSentAt,
                                Instant aAnsweredAt)
{
  mPolled = aReply.mRunning;
  for (const RunningTask& task : mPolled) {
    mSince.try_emplace({ task.mTask, task.mRun }, aAnsweredAt);
  }
  std::int64_t newest = mNewestEnd;
  for (const EndedTask& ended : aReply.mEnded) {
    if (ended.mNumber > mNewestEnd) {
      mEnded.push_back(ended);
      newest = std::max(newest, ended.mNumber);
    }
  }
  const bool hasNew = newest > mNewestEnd;
  mNewestEnd = newest;
  std::erase_if(mStarted, [&](const auto& aStarted) {
    return aStarted.second <= aSentAt ||
           std::ranges::any_of(mPolled,
                               [&](const RunningTask& aTask) {
                                 return aTask.mTask == aStarted.first.first;
                               }) ||
           std::ranges::any_of(mEnded, [&](const EndedTask& aTask) {
             return RunKey(aTask.mTask, aTask.mRun) == aStarted.first;
           });
  });
  std::erase_if(mSince, [&](const auto& aSince) {
    const RunKey& key = aSince.first;
    return !mStarted.contains(key) &&
           std::ranges::none_of(mPolled, [&key](const RunningTask& aTask) {
             return RunKey(aTask.mTask, aTask.mRun) == key;
           });
  });
  return hasNew;
}

void WorkerStateTracker::Acknowledge(std::int64_t aNumber)
{
  mAcknowledged = std::max(mAcknowledged, aNumber);
  std::erase_if(mEnded, [this](const EndedTask& aTask) {
    return aTask.mNumber <= mAcknowledged;
  });
}

bool WorkerStateTracker::Knows(const TaskRef& aTask, RunNumber aRun) const
{
  const auto same = [&](const auto& aEntry) {
    return aEntry.mTask == aTask && aEntry.mRun == aRun;
  };
  return std::ranges::any_of(mPolled, same) ||
         std::ranges::any_of(mEnded, same) ||
         mStarted.contains({ aTask, aRun });
}

CrashedWorker WorkerStateTracker::CrashAfter(Instant aAnsweredAt) const
{
  CrashedWorker crash;
  for (const auto& [task, run] : mSent) {
    crash.mRuns.push_back({ task, run, Duration::zero(), false });
  }
  for (const auto& [key, since] : mSince) {
    const Duration uptime = std::max(Duration::zero(), aAnsweredAt - since);
    if (uptime < kProvenUptime) {
      crash.mRuns.push_back({ key.first, key.second, uptime, true });
    }
  }
  return crash;
}

std::vector<TaskRef> WorkerStateTracker::MayBeRunning() const
{
  std::vector<TaskRef> tasks;
  for (const RunningTask& task : mPolled) {
    tasks.push_back(task.mTask);
  }
  for (const auto& [key, at] : mStarted) {
    tasks.push_back(key.first);
  }
  for (const auto& [task, run] : mSent) {
    tasks.push_back(task);
  }
  return tasks;
}

std::vector<RunningTask> WorkerStateTracker::Running() const
{
  std::vector<RunningTask> running = mPolled;
  for (const auto& [key, at] : mStarted) {
    RunningTask task;
    task.mTask = key.first;
    task.mRun = key.second;
    running.push_back(std::move(task));
  }
  for (RunningTask& task : running) {
    if (const auto since = mSince.find({ task.mTask, task.mRun });
        since != mSince.end()) {
      task.mSince = since->second.time_since_epoch();
    }
  }
  return running;
}

} // namespace foxtailbarrow::cell
