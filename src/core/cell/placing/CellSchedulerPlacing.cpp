#include <algorithm>
#include <utility>

#include "src/core/cell/placing/Candidate.h"
#include "src/core/cell/placing/StepChoices.h"

namespace foxtailbarrow::cell {

void CellScheduler::RefreshInterference(WorkerEntry& aWorker, Instant aNow)
{
  aWorker.mWorkerInterference.Refresh(
    aWorker.mUse, mInterference, mSettings.mPlannedLatencyShare, aNow);
}

void CellScheduler::Schedule(const CellClock& aClock)
{
  CompactJobs();
  FailExhaustedJobs(aClock);
  ExpireWorkers(aClock);
  for (auto& [id, worker] : mWorkers) {
    if (worker.mLink != WorkerLink::Attached) {
      continue;
    }
    if (worker.mInfo.mDraining) {
      DrainWorker(worker, aClock);
    }
    RefreshInterference(worker, aClock.mNow);
  }
  mRefusedDemands.Clear();
  mReservedShare = ReservedShareOf(mWorkers);
  mNeedsPlacement = false;
  const std::vector<Candidate> candidates = SortedCandidates(aClock);
  const auto place = [&](std::span<const Candidate> aCandidates) {
    for (const Candidate& candidate : aCandidates) {
      PlaceStep(candidate, aClock);
    }
  };
  const std::span<const Candidate> ordered = candidates;
  const auto firstBestEffort = static_cast<std::size_t>(
    std::ranges::find_if(candidates, &Candidate::mBestEffort) -
    candidates.begin());
  place(ordered.first(firstBestEffort));
  if (!StandingTasksComeFirst(candidates, aClock.mNow)) {
    place(ordered.subspan(firstBestEffort)); // Best-effort tasks.
  }
  LogWaiting(candidates, aClock);
  if (aClock.mNow - mRunsReviewedAt >= mSettings.mRunReviewInterval) {
    mRunsReviewedAt = aClock.mNow;
    PlaceCopies(aClock);
    MoveStalledTasks(aClock);
  }
}

bool CellScheduler::NeedsCopy(const JobEntry& aJob,
                              const TaskEntry& aTask,
                              Instant aNow) const
{
  if (aTask.mDone || aTask.mRuns.size() != 1 || aTask.mCrashes.Suspect()) {
    return false;
  }
  const TaskRun& run = aTask.mRuns.front();
  // A run that crashed its worker makes no progress either, and a copy of it
  // would crash another worker.
  if (run.mUptime < kProvenUptime) {
    return false;
  }
  const WorkerEntry& worker = mWorkers.at(run.mAgent);
  if (worker.mLink != WorkerLink::Attached || !worker.mAnswers) {
    return true;
  }
  if (run.mPhase != RunPhase::Running) {
    return false;
  }
  if (aNow - run.mPercentChangedAt > mSettings.mCopyAfter) {
    return true;
  }
  const auto mean = mMeanRunTime.find(aJob.Graph().mQueue);
  const Duration age = aNow - run.mRunningSince;
  if (mean == mMeanRunTime.end() || age < mean->second) {
    return false;
  }
  constexpr double kFull = 100.0;
  const std::chrono::duration<double> expected =
    std::chrono::duration<double>(age) * kFull / std::max(run.mPercent, 1);
  return expected > mean->second * mSettings.mCopySlowness;
}

/// Starts copies of stalled and slow tasks that allow copies.
void CellScheduler::PlaceCopies(const CellClock& aClock)
{
  int copies = 0;
  for (const JobId& id : mActiveJobs) {
    JobEntry& job = mJobs.at(id);
    TaskRef task{ id, 0, 0, 0 };
    for (const auto& [number, occurrence] : job.mOpen) {
      task.mOccurrence = number;
      task.mStep = 0;
      for (const StepEntry& step : occurrence.mSteps) {
        StepChoices choices;
        for (const auto& [index, entry] : step.Touched()) {
          task.mIndex = index;
          copies += entry.mRuns.size() > 1 ? 1 : 0;
          if (copies < mSettings.mMaxCopies && job.Spec(task).mSpeculative &&
              NeedsCopy(job, entry, aClock.mNow) &&
              PlaceTask(job, task, NextRun(entry), aClock, choices)) {
            ++copies;
          }
        }
        ++task.mStep;
      }
    }
  }
}

/// True when a worker that has not been reported since the takeover may run the
/// task.
bool CellScheduler::MayRunUnreported(const JobEntry& aJob,
                                     const TaskRef& aTask,
                                     Instant aNow) const
{
  return aJob.mInherited && mUnreported.MayRun(aTask, aNow);
}

/// For how long no task of the step's occurrence has run.
Duration CellScheduler::IdleTime(const JobEntry& aJob,
                                 const TaskRef& aTask,
                                 Instant aNow)
{
  Instant since = aJob.mAcceptedAt;
  for (const StepEntry& step : aJob.mOpen.at(aTask.mOccurrence).mSteps) {
    if (step.HasRuns()) {
      return Duration::zero();
    }
    since = std::max(since, step.IdleSince());
  }
  return aNow - since;
}

/// True when no task of the step's occurrence has run for mStarvingAfter and
/// the cell is not busy.
bool CellScheduler::Starving(const JobEntry& aJob,
                             const TaskRef& aTask,
                             Instant aNow) const
{
  return IdleTime(aJob, aTask, aNow) > mSettings.mStarvingAfter &&
         mReservedShare < mSettings.mBusyShare;
}

void CellScheduler::PlaceStep(const Candidate& aCandidate,
                              const CellClock& aClock)
{
  JobEntry& job = mJobs.at(aCandidate.mFirstTask.mJob);
  if (job.Spec(aCandidate.mFirstTask).mGang) {
    PlaceGang(job, aCandidate.mFirstTask, aClock);
  } else {
    PlaceTasks(job, aCandidate.mFirstTask, aClock);
  }
}

void CellScheduler::PlaceTasks(JobEntry& aJob,
                               const TaskRef& aFirst,
                               const CellClock& aClock)
{
  StepChoices choices;
  TaskRef task = aFirst;
  for (; task.mIndex < aJob.Spec(aFirst).mReplicas; ++task.mIndex) {
    const TaskEntry& entry = *aJob.Find(task);
    if (!entry.Idle() || entry.mNotBefore > aClock.mNow ||
        MayRunUnreported(aJob, task, aClock.mNow) ||
        !CrashesAllowStart(aJob, task, aClock.mNow)) {
      continue;
    }
    if (!PlaceTask(aJob, task, NextRun(entry), aClock, choices) &&
        entry.mCrashes.Count() == 0) {
      return; // The tasks of a step are alike: no other one fits either.
    }
  }
}

bool CellScheduler::PlaceTask(JobEntry& aJob,
                              const TaskRef& aTask,
                              RunNumber aRun,
                              const CellClock& aClock,
                              StepChoices& aChoices)
{
  // A forgotten start adds a crash, which may end the job; otherwise the task
  // is placed in the next round.
  if (CountForgottenStart(aTask, aClock) || aJob.Final()) {
    return false;
  }
  const bool touches = aJob.Find(aTask)->NeverStarted();
  if (touches && mTouchedTasks >= mSettings.mLimits.mTasks) {
    ++mStartsOverLimit;
    return false;
  }
  const StepSpec& spec = aJob.Spec(aTask);
  const bool starving = Starving(aJob, aTask, aClock.mNow);
  const Suspicion suspected = aJob.Find(aTask)->mCrashes.Suspected();
  const bool suspect = suspected != Suspicion::None;
  const SuspectStart trial{
    { aTask, aRun }, aJob.Graph().mQueue, suspected, spec.mGang
  };
  if (suspect && !mTrials.MayBegin(trial, mWorkers.size(), aClock.mNow)) {
    return false;
  }
  const bool comparable =
    !starving && !suspect && RefusedDemands::Covers(aJob, spec);
  if (comparable && mRefusedDemands.Refuses(aJob, spec)) {
    return false;
  }
  // The members of a gang start together, wherever capacity is free.
  const bool isolated = NeedsIsolatedTrial(suspected) && !spec.mGang;
  PlacementView view{ mWorkers, mInterference,        mSettings,
                      mTrials,  aClock.mNow,          starving,
                      isolated, spec.mGang ? aRun : 0 };
  const auto agent = aChoices.Choose(view, aJob, aTask);
  if (!agent) {
    view.mNoRecentStartOnly = false;
    if (const auto best = isolated ? ChooseWorker(view, aJob, aTask) : agent;
        best && mTrials.Reserve(*best, aTask, mWorkers.size(), aClock.mNow)) {
      LogDecision("worker-reserved", aTask, *best, aRun, "trial");
    }
    if (comparable && aJob.Find(aTask)->mStalledUntil <= aClock.mNow) {
      mRefusedDemands.RecordRefusal(aJob, spec);
    }
    return false;
  }
  if (!PrepareStart(aJob, aTask, aRun, *agent, aClock)) {
    if (suspect) {
      mTrials.Plan(*agent, trial, aClock.mNow);
    }
    return false;
  }
  const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(
    aClock.mNow - aJob.mAcceptedAt);
  LogDecision("task-start", aTask, *agent, aRun, "room", waited.count());
  WorkerEntry& worker = mWorkers.at(*agent);
  TaskEntry& entry = aJob.Touch(aTask);
  mTouchedTasks += touches ? 1 : 0;
  entry.mTime.mWaited +=
    aClock.mNow - std::max(entry.mIdleSince, aJob.StepOf(aTask).mReleasedAt);
  AddRun(aJob,
         aTask,
         worker,
         { .mAgent = *agent,
           .mNumber = aRun,
           .mOrderedAt = aClock.mNow,
           .mOrderNumber = worker.mLastOrder + 1 });
  RefreshInterference(worker, aClock.mNow);
  mOrders[*agent].mStarts.push_back(
    OrderFor(aJob, aTask, aRun, worker, aClock.mNow));
  worker.mUnsentBytes += MemoryOf(mOrders[*agent].mStarts.back());
  return true;
}

} // namespace foxtailbarrow::cell
