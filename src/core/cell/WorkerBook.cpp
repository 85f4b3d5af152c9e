#include "src/core/cell/WorkerBook.h"

#include <algorithm>

namespace foxtailbarrow::cell {

void WorkerBook::Reset()
{
  *this = WorkerBook();
}

void WorkerBook::NoteSent(const TaskRef& aTask, RunNumber aRun)
{
  mSent.insert({ aTask, aRun });
}

void WorkerBook::NoteNotStarted(const TaskRef& aTask, RunNumber aRun)
{
  mSent.erase({ aTask, aRun });
}

void WorkerBook::TakeStart(const TaskRef& aTask,
                           RunNumber aRun,
                           Instant aAnsweredAt)
{
  mSent.erase({ aTask, aRun });
  if (!Knows(aTask, aRun)) {
    mStarted[{ aTask, aRun }] = aAnsweredAt;
    mSince.try_emplace({ aTask, aRun }, aAnsweredAt);
  }
}

bool WorkerBook::TakeLook(const LookReply& aReply,
                          Instant aSentAt,
                          Instant aAnsweredAt)
{
  mLooked = aReply.mRunning;
  for (const RunningTask& task : mLooked) {
    mSince.try_emplace({ task.mTask, task.mRun }, aAnsweredAt);
  }
  std::int64_t newest = mSeen;
  for (const EndedTask& ended : aReply.mEnded) {
    if (ended.mNumber > mSeen) {
      mEnded.push_back(ended);
      newest = std::max(newest, ended.mNumber);
    }
  }
  const bool fresh = newest > mSeen;
  mSeen = newest;
  std::erase_if(mStarted, [&](const auto& aStarted) {
    return aStarted.second <= aSentAt ||
           std::ranges::any_of(mLooked,
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
           std::ranges::none_of(mLooked, [&key](const RunningTask& aTask) {
             return RunKey(aTask.mTask, aTask.mRun) == key;
           });
  });
  return fresh;
}

void WorkerBook::Acknowledge(std::int64_t aNumber)
{
  mAcknowledged = std::max(mAcknowledged, aNumber);
  std::erase_if(mEnded, [this](const EndedTask& aTask) {
    return aTask.mNumber <= mAcknowledged;
  });
}

bool WorkerBook::Knows(const TaskRef& aTask, RunNumber aRun) const
{
  const auto same = [&](const auto& aEntry) {
    return aEntry.mTask == aTask && aEntry.mRun == aRun;
  };
  return std::ranges::any_of(mLooked, same) ||
         std::ranges::any_of(mEnded, same) ||
         mStarted.contains({ aTask, aRun });
}

CrashedWorker WorkerBook::CrashAfter(Instant aAnsweredAt) const
{
  CrashedWorker crash;
  for (const auto& [task, run] : mSent) {
    crash.mRuns.push_back({ task, run, Duration::zero(), false });
  }
  for (const auto& [key, since] : mSince) {
    const Duration lived = std::max(Duration::zero(), aAnsweredAt - since);
    if (lived < kProvenLife) {
      crash.mRuns.push_back({ key.first, key.second, lived, true });
    }
  }
  return crash;
}

std::vector<TaskRef> WorkerBook::MayBeThere() const
{
  std::vector<TaskRef> there;
  for (const RunningTask& task : mLooked) {
    there.push_back(task.mTask);
  }
  for (const auto& [key, at] : mStarted) {
    there.push_back(key.first);
  }
  for (const auto& [task, run] : mSent) {
    there.push_back(task);
  }
  return there;
}

std::vector<RunningTask> WorkerBook::Running() const
{
  std::vector<RunningTask> running = mLooked;
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
