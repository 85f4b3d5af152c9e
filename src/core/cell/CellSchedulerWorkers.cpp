#include <algorithm>
#include <limits>
#include <utility>

#include "src/core/cell/CellScheduler.h"

namespace foxtailbarrow::cell {

namespace {

/// A task that runs on so long after its stop was ordered is stopped again.
/// Above the platform's longest stop.
constexpr Duration kStopAgain = std::chrono::milliseconds(800);

/// A state that is newer than every order.
constexpr std::int64_t kAllOrders = std::numeric_limits<std::int64_t>::max();

} // namespace

void CellScheduler::ExpectAgents(const std::set<AgentId>& aAgents,
                                 Instant aUntil)
{
  mExpected = aAgents;
  mExpectedUntil = aUntil;
}

void CellScheduler::AttachWorker(const AgentId& aAgent,
                                 const Endpoint& aEndpoint,
                                 Session aSession,
                                 const WorkerState& aState,
                                 const CellClock& aClock)
{
  WorkerEntry& worker = mWorkers[aAgent];
  worker.mId = aAgent;
  worker.mEndpoint = aEndpoint;
  worker.mLink = WorkerLink::Attached;
  worker.mSession = aSession;
  worker.mLastSequence = 0;
  worker.mLastOrder = 0;
  worker.mForeign.clear();
  worker.mAnswers = true;
  // Until the first report, leases are those that an earlier owner granted.
  worker.mHeldUntil =
    std::max(worker.mHeldUntil, aClock.mNow + mSettings.mHold);
  mOrders.erase(aAgent);
  Tell("worker-attached", {}, aAgent, aSession, "session");
  TakeInfo(worker, aState.mInfo, aClock);
  TakeEnds(worker, aState.mEnded, aClock);
  TakeRunning(worker, aState.mRunning, aClock);
  // Orders of earlier sessions are dead, so that what is not there never comes.
  DropAbsentRuns(worker, aState.mRunning, kAllOrders, aClock);
  for (const auto& [task, number] : worker.mRuns) {
    mJobs.at(task.mJob).Find(task)->FindRun(aAgent, number)->mOrderNumber = 0;
  }
  if (!aState.mInfo.mIncarnation.Empty()) {
    mExpected.erase(aAgent);
  }
}

bool CellScheduler::TakeReport(const ReportRequest& aReport,
                               const CellClock& aClock)
{
  const auto found = mWorkers.find(aReport.mAgent);
  const bool inSession = found != mWorkers.end() &&
                         found->second.mLink == WorkerLink::Attached &&
                         found->second.mSession == aReport.mSession;
  if (aReport.mState.mInfo.mGone) {
    TakeDeparture(aReport, inSession, aClock);
    return false;
  }
  if (!inSession) {
    return false;
  }
  WorkerEntry& worker = found->second;
  if (aReport.mSequence <= worker.mLastSequence) {
    return true; // Overtaken by a newer one.
  }
  worker.mLastSequence = aReport.mSequence;
  TakeSilence(worker, aReport, aClock);
  TakeInfo(worker, aReport.mState.mInfo, aClock);
  if (!aReport.mState.mInfo.mIncarnation.Empty()) {
    mExpected.erase(aReport.mAgent);
  }
  TakeEnds(worker, aReport.mState.mEnded, aClock);
  TakeRunning(worker, aReport.mState.mRunning, aClock);
  DropAbsentRuns(worker, aReport.mState.mRunning, aReport.mOrdersDone, aClock);
  Learn(worker, aReport.mState.mRunning, aClock);
  return true;
}

/// Its last ends count; what else it ran is over, without a wait for leases.
void CellScheduler::TakeDeparture(const ReportRequest& aReport,
                                  bool aInSession,
                                  const CellClock& aClock)
{
  const auto [entry, first] = mWorkers.try_emplace(aReport.mAgent);
  WorkerEntry& worker = entry->second;
  const bool overtaken = aInSession
                           ? aReport.mSequence <= worker.mLastSequence
                           : !first && (worker.mLink == WorkerLink::Attached ||
                                        worker.mInfo.mIncarnation !=
                                          aReport.mState.mInfo.mIncarnation);
  if (overtaken || worker.mLink == WorkerLink::Lost) {
    return;
  }
  worker.mId = aReport.mAgent;
  worker.mEndpoint = aReport.mEndpoint;
  mExpected.erase(aReport.mAgent);
  if (aInSession) {
    TakeInfo(worker, aReport.mState.mInfo, aClock);
    TakeEnds(worker, aReport.mState.mEnded, aClock);
  }
  Tell("worker-lost", {}, worker.mId, worker.mSession, "left");
  LoseRuns(worker, "worker-left", aClock);
  worker.mLink = WorkerLink::Lost;
  mOrders.erase(worker.mId);
}

bool CellScheduler::RunsNothing(const AgentId& aAgent) const
{
  const auto found = mWorkers.find(aAgent);
  return found != mWorkers.end() && found->second.mLink == WorkerLink::Lost;
}

/// A worker that does not answer its agent keeps what it runs until its leases
/// are over.
void CellScheduler::TakeSilence(WorkerEntry& aWorker,
                                const ReportRequest& aReport,
                                const CellClock& aClock)
{
  if (aWorker.mAnswers != aReport.mWorkerAnswers) {
    Tell(aReport.mWorkerAnswers ? "worker-answers" : "worker-silent",
         {},
         aWorker.mId,
         aWorker.mSession,
         aReport.mState.mInfo.mIncarnation.Value());
    aWorker.mSilentLeaseEnd = aClock.mNow + aReport.mLeaseLeft;
  }
  aWorker.mAnswers = aReport.mWorkerAnswers;
  if (!aWorker.mAnswers &&
      aClock.mNow > aWorker.mSilentLeaseEnd + mSettings.mLeaseMargin) {
    LoseRuns(aWorker, "worker-silent", aClock);
  }
}

void CellScheduler::DetachWorker(const AgentId& aAgent, const CellClock&)
{
  if (const auto found = mWorkers.find(aAgent);
      found != mWorkers.end() && found->second.mLink == WorkerLink::Attached) {
    found->second.mLink = WorkerLink::Detached;
    mOrders.erase(aAgent);
    Tell("worker-detached", {}, aAgent, found->second.mSession, "silent");
  }
}

void CellScheduler::NoteGrant(const AgentId& aAgent, Instant aUntil)
{
  if (const auto found = mWorkers.find(aAgent); found != mWorkers.end()) {
    WorkerEntry& worker = found->second;
    worker.mGrantedUntil = std::max(worker.mGrantedUntil, aUntil);
    worker.mHeldUntil = std::max(worker.mHeldUntil, aUntil);
  }
}

void CellScheduler::TakeStartResults(const AgentId& aAgent,
                                     Session aSession,
                                     const std::vector<StartResult>& aResults,
                                     const CellClock& aClock)
{
  const auto worker = mWorkers.find(aAgent);
  if (worker == mWorkers.end() || worker->second.mSession != aSession) {
    return;
  }
  for (const StartResult& result : aResults) {
    const auto found = mJobs.find(result.mTask.mJob);
    TaskEntry* task =
      found == mJobs.end() ? nullptr : found->second.Find(result.mTask);
    TaskRun* run =
      task == nullptr ? nullptr : task->FindRun(aAgent, result.mRun);
    if (run == nullptr) {
      continue; // Its end came first.
    }
    if (result.mOutcome == StartOutcome::Started) {
      if (run->mPhase == RunPhase::Ordered) {
        run->mPhase = RunPhase::Running;
        run->mRunningSince = aClock.mNow;
        run->mPercentChangedAt = aClock.mNow;
      }
      if (found->second.mPhase == JobPhase::Queued) {
        found->second.mPhase = JobPhase::Running;
      }
      continue;
    }
    Tell("task-start-refused",
         result.mTask,
         aAgent,
         result.mRun,
         ToString(result.mOutcome));
    RemoveRun(found->second, result.mTask, aAgent, result.mRun, aClock);
    StopGang(found->second, result.mTask, result.mRun, aClock);
    task->mNotBefore = aClock.mNow + mSettings.mRefusalPause;
  }
}

void CellScheduler::AddRun(JobEntry& aJob,
                           const TaskRef& aTask,
                           WorkerEntry& aWorker,
                           TaskRun aRun)
{
  TaskEntry& task = *aJob.Find(aTask);
  task.mLastRun = std::max(task.mLastRun, aRun.mNumber);
  aWorker.mRuns[aTask] = aRun.mNumber;
  CountUse(aWorker.mUse, aJob.Spec(aTask), 1);
  task.mRuns.push_back(std::move(aRun));
}

void CellScheduler::RemoveRun(JobEntry& aJob,
                              const TaskRef& aTask,
                              const AgentId& aAgent,
                              RunNumber aRun,
                              const CellClock& aClock)
{
  TaskEntry& task = *aJob.Find(aTask);
  const auto removed = std::erase_if(task.mRuns, [&](const TaskRun& aEntry) {
    return aEntry.mAgent == aAgent && aEntry.mNumber == aRun;
  });
  if (removed == 0) {
    return;
  }
  task.mIdleSince = aClock.mNow;
  WorkerEntry& worker = mWorkers.at(aAgent);
  worker.mRuns.erase(aTask);
  CountUse(worker.mUse, aJob.Spec(aTask), -1);
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

/// A member of a gang is not there: the others would wait for it in vain.
void CellScheduler::StopGang(JobEntry& aJob,
                             const TaskRef& aMember,
                             RunNumber aRun,
                             const CellClock& aClock)
{
  if (!aJob.Spec(aMember).mGang) {
    return;
  }
  TaskRef member = aMember;
  for (member.mIndex = 0; member.mIndex < aJob.Spec(aMember).mReplicas;
       ++member.mIndex) {
    for (TaskRun& run : aJob.Find(member)->mRuns) {
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
    return; // Its next session lists what runs, and stops are ordered then.
  }
  OrderRequest& orders = mOrders[aWorker.mId];
  const bool ordered =
    std::ranges::any_of(orders.mStops, [&](const StopOrder& aStop) {
      return aStop.mTask == aTask && aStop.mRun == aRun;
    });
  if (ordered) {
    return;
  }
  Tell("task-stop", aTask, aWorker.mId, aRun, aReason);
  // A start that has not been sent is not stopped but left out.
  std::erase_if(orders.mStarts, [&](const StartOrder& aStart) {
    return aStart.mTask == aTask && aStart.mRun == aRun;
  });
  orders.mStops.push_back({ aTask, aRun });
}

void CellScheduler::TakeInfo(WorkerEntry& aWorker,
                             const WorkerInfo& aInfo,
                             const CellClock& aClock)
{
  if (aInfo.mIncarnation.Empty()) {
    return; // An agent that has just started; the worker tells within seconds.
  }
  if (aWorker.mEnds.Incarnation() != aInfo.mIncarnation) {
    LoseRuns(aWorker, "worker-restarted", aClock);
    aWorker.mEnds.Reset(aInfo.mIncarnation);
    aWorker.mForeign.clear();
    aWorker.mAvoidUntil = {};
    aWorker.mFailuresInRow = 0;
    aWorker.mFailingJobs.clear();
  }
  if (aInfo.mDraining && !aWorker.mInfo.mDraining) {
    Tell("worker-draining", {}, aWorker.mId, 0, aInfo.mIncarnation.Value());
  }
  if (aInfo.mDraining) {
    aWorker.mLeavesAt = aClock.mNow + aInfo.mDrainLeft;
  }
  aWorker.mInfo = aInfo;
}

void CellScheduler::TakeRunning(WorkerEntry& aWorker,
                                const std::vector<RunningTask>& aRunning,
                                const CellClock& aClock)
{
  std::erase_if(aWorker.mForeign, [&](const auto& aForeign) {
    return std::ranges::none_of(aRunning, [&](const RunningTask& aTask) {
      return aTask.mTask == aForeign.first;
    });
  });
  for (const RunningTask& running : aRunning) {
    TakeRunningTask(aWorker, running, aClock);
  }
}

void CellScheduler::TakeRunningTask(WorkerEntry& aWorker,
                                    const RunningTask& aRunning,
                                    const CellClock& aClock)
{
  const auto found = mJobs.find(aRunning.mTask.mJob);
  TaskEntry* task =
    found == mJobs.end() ? nullptr : found->second.Find(aRunning.mTask);
  TaskRun* run =
    task == nullptr ? nullptr : task->FindRun(aWorker.mId, aRunning.mRun);
  if (run == nullptr) {
    if (!Adopt(aWorker, aRunning, aClock) &&
        aWorker.mForeign.emplace(aRunning.mTask, aRunning.mRun).second) {
      OrderStop(aWorker, aRunning.mTask, aRunning.mRun, "not-ours");
    }
    return;
  }
  if (run->mPhase == RunPhase::Ordered) {
    run->mPhase = RunPhase::Running;
    run->mRunningSince = aClock.mNow;
    run->mPercentChangedAt = aClock.mNow;
  }
  if (run->mPercent != aRunning.mPercent) {
    run->mPercent = aRunning.mPercent;
    run->mPercentChangedAt = aClock.mNow;
  }
  if (!aRunning.mCheckpoint.empty()) {
    task->mCheckpoint = aRunning.mCheckpoint;
  }
  if (found->second.mPhase == JobPhase::Queued) {
    found->second.mPhase = JobPhase::Running;
  }
  if (run->mPhase == RunPhase::Stopping &&
      aClock.mNow - run->mStopOrderedAt > kStopAgain) {
    // Ordered before a session that broke, or lost: a stop is idempotent.
    StopRun(*run, aRunning.mTask, "again", aClock);
  }
}

/// Takes over a run that an earlier owner started. False when it must not go
/// on: its job has ended, or another run of the task may be alive.
bool CellScheduler::Adopt(WorkerEntry& aWorker,
                          const RunningTask& aRunning,
                          const CellClock& aClock)
{
  const auto found = mJobs.find(aRunning.mTask.mJob);
  if (found == mJobs.end()) {
    return false;
  }
  JobEntry& job = found->second;
  TaskEntry* task = job.Find(aRunning.mTask);
  if (job.Final() || task == nullptr || task->mDone ||
      task->mLastRun >= aRunning.mRun) {
    return false;
  }
  if (!task->mRuns.empty() && !job.Spec(aRunning.mTask).mSpeculative) {
    return false;
  }
  Tell("task-adopted",
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
           .mRunningSince = aClock.mNow,
           .mPercent = aRunning.mPercent,
           .mPercentChangedAt = aClock.mNow });
  if (!aRunning.mCheckpoint.empty()) {
    task->mCheckpoint = aRunning.mCheckpoint;
  }
  if (job.mPhase == JobPhase::Queued) {
    job.mPhase = JobPhase::Running;
  }
  const StepSpec& spec = job.Spec(aRunning.mTask);
  mOrders[aWorker.mId].mTraits.push_back(
    { aRunning.mTask, spec.mLatencyTarget, spec.mLeftover, spec.mImage });
  return true;
}

void CellScheduler::DropAbsentRuns(WorkerEntry& aWorker,
                                   const std::vector<RunningTask>& aRunning,
                                   std::int64_t aOrdersDone,
                                   const CellClock& aClock)
{
  std::set<std::pair<TaskRef, RunNumber>> present;
  for (const RunningTask& running : aRunning) {
    present.emplace(running.mTask, running.mRun);
  }
  const auto runs = aWorker.mRuns;
  for (const auto& [task, number] : runs) {
    JobEntry& job = mJobs.at(task.mJob);
    const TaskRun* run = job.Find(task)->FindRun(aWorker.mId, number);
    // A report may be older than the orders that started the run; one whose
    // orders are not answered yet is judged by the answer.
    const bool open =
      run->mOrderNumber > aOrdersDone ||
      (run->mPhase == RunPhase::Ordered && aOrdersDone != kAllOrders);
    if (open || present.contains({ task, number })) {
      continue;
    }
    Tell("task-lost", task, aWorker.mId, number, "not-there");
    RemoveRun(job, task, aWorker.mId, number, aClock);
    StopGang(job, task, number, aClock);
  }
}

void CellScheduler::LoseRuns(WorkerEntry& aWorker,
                             std::string_view aReason,
                             const CellClock& aClock)
{
  const auto runs = aWorker.mRuns;
  for (const auto& [task, number] : runs) {
    Tell("task-lost", task, aWorker.mId, number, aReason);
    if (number < FirstRunOf(mGeneration)) {
      mJobs.at(task.mJob).Find(task)->mWrittenOff.push_back(number);
    }
    RemoveRun(mJobs.at(task.mJob), task, aWorker.mId, number, aClock);
    StopGang(mJobs.at(task.mJob), task, number, aClock);
  }
}

void CellScheduler::LoseLapsedWorkers(const CellClock& aClock)
{
  for (auto& [id, worker] : mWorkers) {
    if (worker.mLink != WorkerLink::Detached ||
        aClock.mNow < worker.mHeldUntil + mSettings.mLeaseMargin) {
      continue;
    }
    worker.mLink = WorkerLink::Lost;
    Tell("worker-lost", {}, id, worker.mSession, "leases-over");
    LoseRuns(worker, "leases-over", aClock);
  }
}

void CellScheduler::Evacuate(WorkerEntry& aWorker, const CellClock& aClock)
{
  const bool leaves =
    aClock.mNow >= aWorker.mLeavesAt - mSettings.mEvacuateBefore;
  for (const auto& [task, number] : aWorker.mRuns) {
    JobEntry& job = mJobs.at(task.mJob);
    const StepSpec& spec = job.Spec(task);
    TaskRun* run = job.Find(task)->FindRun(aWorker.mId, number);
    if (run->mPhase != RunPhase::Running ||
        !(spec.mStanding || (leaves && spec.mCheckpoints))) {
      continue;
    }
    StopRun(*run, task, "worker-draining", aClock);
  }
}

RunNumber CellScheduler::NextRun(const TaskEntry& aTask) const
{
  return std::max(FirstRunOf(mGeneration), aTask.mLastRun) + 1;
}

} // namespace foxtailbarrow::cell
