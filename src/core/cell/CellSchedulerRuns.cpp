#include <algorithm>
#include <utility>

#include "src/core/cell/CellScheduler.h"

namespace foxtailbarrow::cell {

namespace {

TaskMetadata MetadataOf(const TaskRef& aTask, const StepSpec& aSpec)
{
  return { aTask,
           aSpec.mLatencyTarget,
           aSpec.mBestEffort,
           aSpec.mImage,
           Reservation(aSpec) };
}

/// True if the state shows the run, as running or ended.
bool Lists(const WorkerState& aState, const TaskRef& aTask, RunNumber aRun)
{
  const auto same = [&](const auto& aEntry) {
    return aEntry.mTask == aTask && aEntry.mRun == aRun;
  };
  return std::ranges::any_of(aState.mRunning, same) ||
         std::ranges::any_of(aState.mEnded, same);
}

} // namespace

void CellScheduler::AddRun(JobEntry& aJob,
                           const TaskRef& aTask,
                           WorkerEntry& aWorker,
                           TaskRun aRun)
{
  TaskEntry& task = aJob.Touch(aTask);
  task.mLastRun = std::max(task.mLastRun, aRun.mNumber);
  aWorker.mRuns[aTask] = aRun.mNumber;
  aWorker.mAllPastFreshUptime = false;
  if (task.mCrashes.Suspect()) {
    mTrials.Begin(aWorker.mId,
                  { { aTask, aRun.mNumber },
                    aJob.Graph().mQueue,
                    task.mCrashes.Suspected(),
                    aJob.Spec(aTask).mGang });
  }
  CountUse(aWorker.mUse, aTask.mJob, aJob.Spec(aTask), 1);
  aWorker.mWorkerInterference.Invalidate();
  task.mRuns.push_back(std::move(aRun));
}

void CellScheduler::RemoveRun(JobEntry& aJob,
                              const TaskRef& aTask,
                              const AgentId& aAgent,
                              RunNumber aRun,
                              const CellClock& aClock)
{
  TaskEntry& task = aJob.Touch(aTask);
  const auto removed = std::erase_if(task.mRuns, [&](const TaskRun& aEntry) {
    return aEntry.mAgent == aAgent && aEntry.mNumber == aRun;
  });
  if (removed == 0) {
    return;
  }
  // Otherwise the start would be sent to the worker's next incarnation.
  WithdrawStart(aAgent, aTask, aRun);
  task.mIdleSince = aClock.mNow;
  WorkerEntry& worker = mWorkers.at(aAgent);
  worker.mRuns.erase(aTask);
  task.mCrashes.Settle(aRun);
  mTrials.End(aAgent, { aTask, aRun });
  mToCompact.insert(aTask.mJob);
  CountUse(worker.mUse, aTask.mJob, aJob.Spec(aTask), -1);
  worker.mWorkerInterference.Invalidate();
  mNeedsPlacement = true;
}

void CellScheduler::StopRun(TaskRun& aRun,
                            const TaskRef& aTask,
                            std::string_view aReason,
                            const CellClock& aClock)
{
  aRun.mPhase = RunPhase::Stopping;
  aRun.mStopOrderedAt = aClock.mNow;
  OrderStop(mWorkers.at(aRun.mAgent), aTask, aRun.mNumber, aReason);
}

/// Stops the other members of a gang when one is missing: they would wait until
/// they time out.
void CellScheduler::StopGang(JobEntry& aJob,
                             const TaskRef& aMember,
                             RunNumber aRun,
                             const CellClock& aClock)
{
  if (!aJob.Spec(aMember).mGang) {
    return;
  }
  TaskRef member = aMember;
  for (auto& [index, entry] : aJob.StepOf(aMember).Touched()) {
    member.mIndex = index;
    for (TaskRun& run : entry.mRuns) {
      if (run.mNumber == aRun && run.mPhase != RunPhase::Stopping) {
        StopRun(run, member, "gang-incomplete", aClock);
      }
    }
  }
}

void CellScheduler::OrderStop(WorkerEntry& aWorker,
                              const TaskRef& aTask,
                              RunNumber aRun,
                              std::string_view aReason)
{
  if (aWorker.mLink != WorkerLink::Attached) {
    return; // The next session lists the running tasks; stops are ordered then.
  }
  OrderRequest& orders = mOrders[aWorker.mId];
  const bool ordered =
    std::ranges::any_of(orders.mStops, [&](const StopOrder& aStop) {
      return aStop.mTask == aTask && aStop.mRun == aRun;
    });
  if (ordered) {
    return;
  }
  LogDecision("task-stop", aTask, aWorker.mId, aRun, aReason);
  WithdrawStart(aWorker.mId, aTask, aRun);
  orders.mStops.push_back({ aTask, aRun });
}

void CellScheduler::OnRunningTasks(WorkerEntry& aWorker,
                                   const std::vector<RunningTask>& aRunning,
                                   Duration aAnsweredAt,
                                   const CellClock& aClock)
{
  std::erase_if(aWorker.mForeign, [&](const auto& aForeign) {
    return std::ranges::none_of(aRunning, [&](const RunningTask& aTask) {
      return aTask.mTask == aForeign.first;
    });
  });
  std::size_t pastFreshUptime = 0;
  for (const RunningTask& running : aRunning) {
    const Duration uptime = running.mSince == Duration::zero()
                              ? Duration::zero()
                              : aAnsweredAt - running.mSince;
    if (OnRunningTask(aWorker, running, uptime, aClock)) {
      pastFreshUptime += uptime >= kFreshUptime ? 1 : 0;
    }
  }
  aWorker.mAllPastFreshUptime = pastFreshUptime == aWorker.mRuns.size();
}

/// Returns false when the run is not one of this owner's.
bool CellScheduler::OnRunningTask(WorkerEntry& aWorker,
                                  const RunningTask& aRunning,
                                  Duration aUptime,
                                  const CellClock& aClock)
{
  const auto found = mJobs.find(aRunning.mTask.mJob);
  TaskRun* run =
    found == mJobs.end()
      ? nullptr
      : found->second.FindRun(aRunning.mTask, aWorker.mId, aRunning.mRun);
  if (run == nullptr) {
    if (!Adopt(aWorker, aRunning, aClock) &&
        aWorker.mForeign.emplace(aRunning.mTask, aRunning.mRun).second) {
      OrderStop(aWorker, aRunning.mTask, aRunning.mRun, "not-ours");
    }
    return false;
  }
  run->Confirm(aClock.mNow);
  run->mUptime = std::max(run->mUptime, aUptime);
  OnRunAlive(found->second, aRunning.mTask, *run, aClock);
  if (run->mPercent != aRunning.mPercent) {
    run->mPercent = aRunning.mPercent;
    run->mPercentChangedAt = aClock.mNow;
  }
  if (!aRunning.mCheckpoint.empty()) {
    found->second.Touch(aRunning.mTask).mCheckpoint = aRunning.mCheckpoint;
  }
  if (found->second.mPhase == JobPhase::Queued) {
    found->second.mPhase = JobPhase::Running;
  }
  if (run->mPhase == RunPhase::Stopping &&
      aClock.mNow - run->mStopOrderedAt > mSettings.StopRetryDelay()) {
    // The stop was lost, or ordered in an earlier session. Stops are
    // idempotent.
    StopRun(*run, aRunning.mTask, "again", aClock);
  }
  return true;
}

/// Adopts a run that an earlier owner started. Returns false when it must be
/// stopped: its job has ended, or another run of the task may be alive.
bool CellScheduler::Adopt(WorkerEntry& aWorker,
                          const RunningTask& aRunning,
                          const CellClock& aClock)
{
  const auto found = mJobs.find(aRunning.mTask.mJob);
  if (found == mJobs.end()) {
    return false;
  }
  JobEntry& job = found->second;
  const TaskEntry* known = job.Find(aRunning.mTask);
  if (job.Final() || known == nullptr || known->mDone ||
      known->mLastRun >= aRunning.mRun) {
    return false;
  }
  if (!known->mRuns.empty() && !job.Spec(aRunning.mTask).mSpeculative) {
    return false;
  }
  LogDecision("task-adopted",
              aRunning.mTask,
              aWorker.mId,
              aRunning.mRun,
              "earlier-owner");
  AddRun(job,
         aRunning.mTask,
         aWorker,
         { .mAgent = aWorker.mId,
           .mNumber = aRunning.mRun,
           .mPhase = RunPhase::Running,
           .mOrderedAt = aClock.mNow,
           .mSent = true,
           .mRunningSince = aClock.mNow,
           .mPercent = aRunning.mPercent,
           .mPercentChangedAt = aClock.mNow });
  TaskEntry& task = job.Touch(aRunning.mTask);
  if (task.mCrashes.Count() > 0) {
    RecordStart(job, aRunning.mTask, task.mRuns.back());
  }
  if (!aRunning.mCheckpoint.empty()) {
    task.mCheckpoint = aRunning.mCheckpoint;
  }
  if (job.mPhase == JobPhase::Queued) {
    job.mPhase = JobPhase::Running;
  }
  mOrders[aWorker.mId].mMetadata.push_back(
    MetadataOf(aRunning.mTask, job.Spec(aRunning.mTask)));
  return true;
}

/// Sends the metadata of all runs: a restarted agent does not have it.
void CellScheduler::SendMetadata(const WorkerEntry& aWorker)
{
  if (aWorker.mRuns.empty()) {
    return;
  }
  std::vector<TaskMetadata>& metadata = mOrders[aWorker.mId].mMetadata;
  metadata.clear();
  for (const auto& [task, number] : aWorker.mRuns) {
    metadata.push_back(MetadataOf(task, mJobs.at(task.mJob).Spec(task)));
  }
}

void CellScheduler::DropAbsentRuns(WorkerEntry& aWorker,
                                   const std::vector<RunningTask>& aRunning,
                                   std::int64_t aOrdersDone,
                                   const CellClock& aClock)
{
  std::vector<RunRef> missing;
  for (const auto& entry : aWorker.mRuns) {
    const RunRef expected{ entry.first, entry.second };
    const bool reported =
      std::ranges::any_of(aRunning, [&expected](const RunningTask& aReported) {
        return aReported.mRun == expected.mRun &&
               aReported.mTask == expected.mTask;
      });
    if (!reported) {
      missing.push_back(expected);
    }
  }
  for (const auto& [task, number] : missing) {
    JobEntry& job = mJobs.at(task.mJob);
    const TaskRun* run = job.FindRun(task, aWorker.mId, number);
    if (run == nullptr) {
      continue; // Removed together with another member of its gang.
    }
    // The report may be older than the orders that started the run. A run whose
    // orders are not answered yet is decided by their answer.
    const bool undecided =
      run->mOrderNumber > aOrdersDone ||
      (run->mPhase == RunPhase::Ordered && aOrdersDone != kAllOrders);
    if (undecided) {
      continue;
    }
    LogDecision("task-lost", task, aWorker.mId, number, "not-there");
    RemoveRun(job, task, aWorker.mId, number, aClock);
    StopGang(job, task, number, aClock);
  }
}

void CellScheduler::OnRunsLost(WorkerEntry& aWorker,
                               std::string_view aReason,
                               LossCause aCause,
                               const CellClock& aClock,
                               const WorkerState& aListed)
{
  const auto runs = aWorker.mRuns;
  for (const auto& [task, number] : runs) {
    if (Lists(aListed, task, number)) {
      continue;
    }
    const TaskRun& run =
      *mJobs.at(task.mJob).Find(task)->FindRun(aWorker.mId, number);
    LogDecision(run.mSent ? "task-lost" : "task-start-withdrawn",
                task,
                aWorker.mId,
                number,
                aReason,
                WholeMilliseconds(run.mUptime));
    if (aCause == LossCause::Unexplained) {
      RecordUnexplainedLoss(aWorker, task, run, aClock.mNow);
    }
    if (number < FirstRunOf(mGeneration)) {
      mJobs.at(task.mJob).Touch(task).mExpiredRuns.push_back(number);
    }
    RemoveRun(mJobs.at(task.mJob), task, aWorker.mId, number, aClock);
    StopGang(mJobs.at(task.mJob), task, number, aClock);
  }
}

RunNumber CellScheduler::NextRun(const TaskEntry& aTask) const
{
  return std::max(FirstRunOf(mGeneration), aTask.mLastRun) + 1;
}

} // namespace foxtailbarrow::cell
