#include <algorithm>

#include "absl/strings/str_cat.h"

#include "src/core/cell/CellScheduler.h"
#include "src/core/cell/CrashBlame.h"

namespace foxtailbarrow::cell {

namespace {

/// A store that refuses writes for a while takes one within this.
constexpr Duration kFirstCrashSaveTime = std::chrono::seconds(3);

} // namespace

/// The task, where a crash may count against it.
TaskEntry* CellScheduler::FindOpenTask(const TaskRef& aTask)
{
  const auto found = mJobs.find(aTask.mJob);
  if (found == mJobs.end() || found->second.Final()) {
    return nullptr;
  }
  TaskEntry* task = found->second.Find(aTask);
  return task == nullptr || task->mDone ? nullptr : task;
}

/// What the owner itself knows of the runs that a crashed worker took along.
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
  std::vector<RunAtCrash> witnesses;
  witnesses.reserve(aCrash.mRuns.size());
  for (const CrashedRun& run : aCrash.mRuns) {
    const TaskEntry* task = FindOpenTask(run.mTask);
    witnesses.push_back(
      { run.mUptime, task != nullptr && task->mCrashes.Suspect() });
  }
  const std::vector<CrashBlame> blames = AssignBlame(witnesses);
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
  TaskEntry* task = FindOpenTask(aRun.mTask);
  if (task == nullptr || !task->mCrashes.RecordCrash(aRun.mRun, aBlame)) {
    return;
  }
  JobEntry& job = mJobs.at(aRun.mTask.mJob);
  MarkUnsaved(job, aClock.mNow);
  task->mCrashVersion = job.mVersion;
  task->mCrashedAt = aClock.mNow;
  if (task->mCrashes.Suspect()) {
    task->mFailedOn.push_back(aAgent);
    job.mSuspects.insert(aRun.mTask);
    if (IsUnreachable(aAgent)) {
      // A second worker is not risked meanwhile.
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

/// The run ended by itself, or has lived for long.
void CellScheduler::ClearCrashes(JobEntry& aJob,
                                 const TaskRef& aTask,
                                 const AgentId& aAgent,
                                 RunNumber aRun,
                                 const CellClock& aClock)
{
  if (!aJob.Find(aTask)->mCrashes.Clear(aRun)) {
    return;
  }
  ++mCrashCounters.mQueues[aJob.Graph().mQueue].mCleared;
  aJob.mSuspects.erase(aTask);
  mNeedsPlacement = true;
  MarkUnsaved(aJob, aClock.mNow);
  LogDecision("task-cleared", aTask, aAgent, aRun, "lives");
}

/// A report shows the run alive.
void CellScheduler::OnRunAlive(JobEntry& aJob,
                               const TaskRef& aTask,
                               const TaskRun& aRun,
                               const CellClock& aClock)
{
  TaskEntry& task = *aJob.Find(aTask);
  const Duration lived = aRun.mUptime;
  if (lived >= kProvenUptime) {
    task.mProven = true;
    task.mCrashes.Settle(aRun.mNumber);
  }
  if (task.mCrashes.Count() == 0) {
    return;
  }
  const Duration trial =
    task.mCrashes.Suspected() == Suspicion::Weak ? kFreshUptime : kProvenUptime;
  if (lived >= trial && mTrials.IsTrial(aRun.mAgent, { aTask, aRun.mNumber })) {
    mTrials.End(aRun.mAgent, { aTask, aRun.mNumber });
    mNeedsPlacement = true;
  }
  if (lived >= kProvenUptime) {
    ClearCrashes(aJob, aTask, aRun.mAgent, aRun.mNumber, aClock);
  }
}

/// The worker fell silent and its leases were waited out: whether it crashed is
/// known when it is there again.
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
      .Find(aTask)
      ->mCrashes.RecordUnexplainedLoss(aRun.mNumber, aNow);
  }
}

void CellScheduler::ClearUnexplainedLosses(WorkerEntry& aWorker)
{
  for (const CrashedRun& run : aWorker.mUnexplained) {
    if (TaskEntry* task = FindOpenTask(run.mTask)) {
      task->mCrashes.ClearUnexplainedLoss(run.mRun);
    }
  }
  aWorker.mUnexplained.clear();
}

/// Has the start recorded behind its order, without a wait. If all that know of
/// the run are lost, the next owner counts it as a crash; otherwise a task that
/// takes its worker down could be started without end. A task with a run that
/// has lived is not the cause of crashes.
void CellScheduler::RecordStart(JobEntry& aJob,
                                const TaskRef& aTask,
                                const TaskRun& aRun)
{
  TaskEntry& task = *aJob.Find(aTask);
  if (task.mProven && task.mCrashes.Count() == 0) {
    return;
  }
  task.mCrashes.RecordStart(aRun.mNumber);
  MarkUnsaved(aJob, aRun.mOrderedAt);
}

/// An earlier owner sent a start of the task, and no agent knows of that run:
/// all that knew of it were lost. It may also never have arrived, so that the
/// first one makes no suspect. True when it was counted now.
bool CellScheduler::CountForgottenStart(const TaskRef& aTask,
                                        const CellClock& aClock)
{
  TaskEntry* task = FindOpenTask(aTask);
  if (task == nullptr) {
    return false;
  }
  const RunNumber run = task->mCrashes.UnsettledStart();
  if (run <= task->mLastRun || run >= FirstRunOf(mGeneration)) {
    return false;
  }
  task->mLastRun = run;
  LogDecision("task-start-forgotten", aTask, {}, run, "no-agent-knows-it");
  const bool first = task->mCrashes.Count() == 0;
  RecordCrash({},
              { aTask, run, {}, false },
              first ? CrashBlame::Possible : CrashBlame::Unconfirmed,
              aClock);
  return true;
}

/// False while another start of the task could be one too many, or while the
/// store, and so a next owner, lacks a crash of it.
bool CellScheduler::CrashesAllowStart(const JobEntry& aJob,
                                      const TaskRef& aTask,
                                      Instant aNow) const
{
  const TaskEntry& task = *aJob.Find(aTask);
  // Without its record the first crash costs one start more if all that know of
  // it are lost, so that a silent store holds the task for a bounded time only.
  const bool mayWait =
    task.mCrashes.Count() > 1 || aNow - task.mCrashedAt < kFirstCrashSaveTime;
  if ((task.mCrashVersion > aJob.mSavedVersion && mayWait) ||
      !task.mCrashes.MayStart(aNow)) {
    return false;
  }
  if (task.mCrashes.Suspected() == Suspicion::Strong) {
    return true;
  }
  // A job that will likely be given up takes down no further worker; but the
  // members of a gang start together or never.
  return std::ranges::none_of(aJob.mSuspects, [&](const TaskRef& aSuspect) {
    const bool sameGang = aJob.Spec(aTask).mGang &&
                          aSuspect.mOccurrence == aTask.mOccurrence &&
                          aSuspect.mStep == aTask.mStep;
    return !sameGang &&
           aJob.Find(aSuspect)->mCrashes.Suspected() == Suspicion::Strong;
  });
}

} // namespace foxtailbarrow::cell
