#include <utility>

#include "src/core/cell/CellScheduler.h"

namespace foxtailbarrow::cell {

void CellScheduler::TrackStall(TaskRun& aRun,
                               const StepSpec& aSpec,
                               std::int64_t aFigure,
                               Instant aNow) const
{
  const auto demand = static_cast<double>(aSpec.mDemand.mMillicores);
  const bool stalled =
    aSpec.mBestEffort && aRun.mPhase == RunPhase::Running &&
    aNow - aRun.mRunningSince > mSettings.mStalledGrace &&
    static_cast<double>(aFigure) < mSettings.mStalledShare * demand;
  if (!stalled) {
    aRun.mStalledSince.reset();
  } else if (!aRun.mStalledSince) {
    aRun.mStalledSince = aNow;
  }
}

/// True for a task that is stalled here, resumes from a checkpoint, and would
/// be accepted by another worker.
bool CellScheduler::MayMove(const WorkerEntry& aWorker,
                            const TaskRef& aTask,
                            RunNumber aRun,
                            Instant aNow)
{
  JobEntry& job = mJobs.at(aTask.mJob);
  const StepSpec& spec = job.Spec(aTask);
  if (job.Final() || !spec.mBestEffort || !spec.mCheckpoints || spec.mGang) {
    return false;
  }
  const TaskRun* run = job.Find(aTask)->FindRun(aWorker.mId, aRun);
  return run->mPhase == RunPhase::Running && run->mStalledSince &&
         aNow - *run->mStalledSince >= mSettings.mMoveStalledAfter &&
         ChooseWorker(
           { mWorkers, mInterference, mSettings, mTrials, aNow, false },
           job,
           aTask);
}

/// Stops stalled tasks that can run on another worker; they are placed again
/// once their ends are reported.
void CellScheduler::MoveStalledTasks(const CellClock& aClock)
{
  for (auto& [id, worker] : mWorkers) {
    if (worker.mLink != WorkerLink::Attached ||
        aClock.mNow - worker.mStalledStopAt < mSettings.mMovePause) {
      continue;
    }
    for (const auto& [task, number] : worker.mRuns) {
      if (!MayMove(worker, task, number, aClock.mNow)) {
        continue;
      }
      TaskEntry& entry = mJobs.at(task.mJob).Touch(task);
      entry.mStalledOn = id;
      entry.mStalledUntil = aClock.mNow + mSettings.mStalledAvoidFor;
      worker.mStalledStopAt = aClock.mNow;
      StopRun(*entry.FindRun(id, number), task, "stalled", aClock);
      break;
    }
  }
}

} // namespace foxtailbarrow::cell
