#include <algorithm>

#include "absl/strings/str_cat.h"

#include "src/core/cell/CellScheduler.h"
#include "src/core/cell/crashes/CrashBlame.h"

namespace foxtailbarrow::cell {

/// Returns the task if a crash can still count against it, else null.
const TaskEntry* CellScheduler::FindOpenTask(const TaskRef& aTask) const
{
  const auto found = mJobs.find(aTask.mJob);
  if (found == mJobs.end() || found->second.Final()) {
    return nullptr;
  }
  const TaskEntry* task = found->second.Find(aTask);
  return task == nullptr || task->mDone ? nullptr : task;
}

/// As FindOpenTask(), for a change.
TaskEntry* CellScheduler::TouchOpenTask(const TaskRef& aTask)
{
  return FindOpenTask(aTask) == nullptr ? nullptr
                                        : &mJobs.at(aTask.mJob).Touch(aTask);
}

/// Runs lost in the worker's crash, as far as this owner knows them.
CrashedWorker CellScheduler::CrashOf(const WorkerEntry& aWorker)
{
  CrashedWorker crash{ aWorker.mUnexplained };
  for (const auto& [ref, number] : aWorker.mRuns) {
    const TaskRun* run =
      mJobs.at(ref.mJob).Find(ref)->FindRun(aWorker.mId, number);
    if (run != nullptr && run->mSent) {
      crash.mRuns.push_back({ ref, number, run->mUptime, run->Confirmed() });
    }
  }
  return crash;
}

void CellScheduler::OnWorkerCrash(const AgentId& aAgent,
                                  const CrashedWorker& aCrash,
                                  const CellClock& aClock)
{
  std::vector<RunAtCrash> runs;
  runs.reserve(aCrash.mRuns.size());
  for (const CrashedRun& run : aCrash.mRuns) {
    const TaskEntry* task = FindOpenTask(run.mTask);
    runs.push_back(
      { run.mUptime, task != nullptr && task->mCrashes.Suspect() });
  }
  const std::vector<CrashBlame> blames = AssignBlame(runs);
  for (std::size_t i = 0; i < blames.size(); ++i) {
    const CrashedRun& run = aCrash.mRuns[i];
    const bool counts = run.mConfirmed || blames[i] == CrashBlame::None;
    RecordCrash(
      aAgent, run, counts ? blames[i] : CrashBlame::Unconfirmed, aClock);
  }
}

bool CellScheduler::IsUnreachable(const AgentId& aAgent) const
{
  const auto found = mWorkers.find(aAgent);
  return found != mWorkers.end() && !found->second.mAnswers;
}

void CellScheduler::RecordCrash(const AgentId& aAgent,
                                const CrashedRun& aRun,
                                CrashBlame aBlame,
                                const CellClock& aClock)
{
  TaskEntry* task = TouchOpenTask(aRun.mTask);
  if (task == nullptr || !task->mCrashes.RecordCrash(aRun.mRun, aBlame)) {
    return;
  }
  JobEntry& job = mJobs.at(aRun.mTask.mJob);
  MarkUnsaved(job, aClock.mNow);
  task->mRequiredVersion = job.mVersion;
  if (task->mCrashes.Suspect()) {
    task->mFailedOn.push_back(aAgent);
    job.mSuspects.insert(aRun.mTask);
    if (IsUnreachable(aAgent)) {
      // Do not risk a second worker while the first one is unreachable.
      task->mNotBefore = aClock.mNow + mSettings.mSuspectPause;
    }
  }
  ++mCrashCounters.mQueues[job.Graph().mQueue].mSuspected;
  LogDecision(
    aBlame == CrashBlame::Possible ? "task-beside-crash" : "task-suspected",
    aRun.mTask,
    aAgent,
    aRun.mRun,
    task->mCrashes.Suspected() == Suspicion::Strong ? "crashed-again"
                                                    : "worker-crashed",
    WholeMilliseconds(aRun.mUptime));
  if (task->mCrashes.GivenUp()) {
    GiveUp(job, aRun, aAgent, aClock);
  }
}

void CellScheduler::GiveUp(JobEntry& aJob,
                           const CrashedRun& aRun,
                           const AgentId& aAgent,
                           const CellClock& aClock)
{
  ++mCrashCounters.mQueues[aJob.Graph().mQueue].mGivenUp;
  const CrashHistory::Runs& crashes = aJob.Find(aRun.mTask)->mCrashes.Crashes();
  LogDecision("task-given-up",
              aRun.mTask,
              aAgent,
              aRun.mRun,
              absl::StrCat("workers-crashed alone=",
                           crashes.mSole.size(),
                           " likely=",
                           crashes.mLikely.size(),
                           " beside=",
                           crashes.mPossible.size(),
                           " unconfirmed=",
                           crashes.mUnconfirmed.size()),
              WholeMilliseconds(aClock.mNow - aJob.mAcceptedAt));
  FinishJob(aJob, JobPhase::Failed, aClock);
}

/// Clears the task's crashes after a run that ended by itself or reached
/// kProvenUptime.
void CellScheduler::ClearCrashes(JobEntry& aJob,
                                 const TaskRef& aTask,
                                 const AgentId& aAgent,
                                 RunNumber aRun,
                                 const CellClock& aClock)
{
  if (!aJob.Touch(aTask).mCrashes.Clear(aRun)) {
    return;
  }
  ++mCrashCounters.mQueues[aJob.Graph().mQueue].mCleared;
  aJob.mSuspects.erase(aTask);
  mNeedsPlacement = true;
  MarkUnsaved(aJob, aClock.mNow);
  LogDecision("task-cleared", aTask, aAgent, aRun, "lives");
}

/// A report lists the run as running.
void CellScheduler::OnRunAlive(JobEntry& aJob,
                               const TaskRef& aTask,
                               const TaskRun& aRun,
                               const CellClock& aClock)
{
  TaskEntry& task = aJob.Touch(aTask);
  const Duration uptime = aRun.mUptime;
  if (uptime >= kProvenUptime) {
    task.mProven = true;
    task.mCrashes.SettleUpTo(aRun.mNumber);
  }
  if (task.mCrashes.Count() == 0) {
    return;
  }
  const Duration trial =
    task.mCrashes.Suspected() == Suspicion::Weak ? kFreshUptime : kProvenUptime;
  if (uptime >= trial &&
      mTrials.IsTrial(aRun.mAgent, { aTask, aRun.mNumber })) {
    mTrials.End(aRun.mAgent, { aTask, aRun.mNumber });
    mNeedsPlacement = true;
  }
  if (uptime >= kProvenUptime) {
    ClearCrashes(aJob, aTask, aRun.mAgent, aRun.mNumber, aClock);
  }
}

/// The worker stopped answering and its leases expired. Whether it crashed is
/// only known once it answers again.
void CellScheduler::RecordUnexplainedLoss(WorkerEntry& aWorker,
                                          const TaskRef& aTask,
                                          const TaskRun& aRun,
                                          Instant aNow)
{
  if (!aRun.mSent || aRun.mUptime >= kProvenUptime) {
    return;
  }
  aWorker.mUnexplained.push_back(
    { aTask, aRun.mNumber, aRun.mUptime, aRun.Confirmed() });
  if (aRun.mUptime < kFreshUptime) {
    mJobs.at(aTask.mJob)
      .Touch(aTask)
      .mCrashes.RecordUnexplainedLoss(aRun.mNumber, aNow);
  }
}

void CellScheduler::ClearUnexplainedLosses(WorkerEntry& aWorker)
{
  for (const CrashedRun& run : aWorker.mUnexplained) {
    if (TaskEntry* task = TouchOpenTask(run.mTask)) {
      task->mCrashes.ClearUnexplainedLoss(run.mRun);
    }
  }
  aWorker.mUnexplained.clear();
}

/// Saves the start with the job's progress; its order does not wait for that
/// (see PrepareStart() for the starts that do). If this owner and the agent are
/// both lost, the next owner counts the start as a crash. Otherwise a task that
/// crashes its worker could be restarted without limit. A proven task is not
/// the cause of crashes and is skipped.
void CellScheduler::RecordStart(JobEntry& aJob,
                                const TaskRef& aTask,
                                const TaskRun& aRun)
{
  TaskEntry& task = aJob.Touch(aTask);
  if (task.mProven && task.mCrashes.Count() == 0) {
    return;
  }
  task.mCrashes.RecordStart(aRun.mNumber);
  MarkUnsaved(aJob, aRun.mOrderedAt);
}

/// Returns true if the start may be sent. If a crash counts against the task,
/// its start is saved first: with an unavailable store, a start that is saved
/// later is lost together with its owner, its agent and the worker, so that the
/// task crashes another worker without a count. CrashesAllowStart() holds the
/// task until the save. Its job cannot complete before the store is available
/// either.
bool CellScheduler::PrepareStart(JobEntry& aJob,
                                 const TaskRef& aTask,
                                 RunNumber aRun,
                                 const AgentId& aAgent,
                                 const CellClock& aClock)
{
  if (!aJob.Find(aTask)->mCrashes.MustPlanStart(aRun)) {
    return true;
  }
  TaskEntry& task = aJob.Touch(aTask);
  task.mCrashes.PlanStart(aRun);
  MarkUnsaved(aJob, aClock.mNow);
  task.mRequiredVersion = aJob.mVersion;
  LogDecision("task-start-planned", aTask, aAgent, aRun, "crashes-count");
  return false;
}

/// Counts a start that an earlier owner sent and no agent knows of as a crash:
/// all processes that knew of the run were lost. The start may also never have
/// arrived, so the first one does not make the task a suspect. Returns true if
/// it was counted now.
bool CellScheduler::CountForgottenStart(const TaskRef& aTask,
                                        const CellClock& aClock)
{
  const TaskEntry* task = FindOpenTask(aTask);
  if (task == nullptr) {
    return false;
  }
  const RunNumber run = task->mCrashes.UnsettledStart();
  if (run <= task->mLastRun || run >= FirstRunOf(mGeneration)) {
    return false;
  }
  TouchOpenTask(aTask)->mLastRun = run;
  LogDecision("task-start-forgotten", aTask, {}, run, "no-agent-knows-it");
  const bool first = task->mCrashes.Count() == 0;
  RecordCrash({},
              { aTask, run, {}, false },
              first ? CrashBlame::Possible : CrashBlame::Unconfirmed,
              aClock);
  return true;
}

/// Returns false while one more start could exceed the crash limit, or while a
/// crash or the coming start of the task is not saved, so that a next owner
/// would not count it.
bool CellScheduler::CrashesAllowStart(const JobEntry& aJob,
                                      const TaskRef& aTask,
                                      Instant aNow) const
{
  const TaskEntry& task = *aJob.Find(aTask);
  if (task.mRequiredVersion > aJob.mSavedVersion ||
      !task.mCrashes.MayStart(aNow)) {
    return false;
  }
  if (task.mCrashes.Suspected() == Suspicion::Strong) {
    return true;
  }
  // A job that will likely be given up must not crash further workers with its
  // other tasks. A gang is as strong a suspect as its strongest member: two
  // gangs of a job would otherwise wait for each other.
  const bool isGang = aJob.Spec(aTask).mGang;
  bool strongElsewhere = false;
  for (const TaskRef& suspect : aJob.mSuspects) {
    if (aJob.Find(suspect)->mCrashes.Suspected() != Suspicion::Strong) {
      continue;
    }
    if (isGang && suspect.mOccurrence == aTask.mOccurrence &&
        suspect.mStep == aTask.mStep) {
      return true;
    }
    strongElsewhere = true;
  }
  return !strongElsewhere;
}

} // namespace foxtailbarrow::cell
