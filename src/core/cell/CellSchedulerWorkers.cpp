#include <algorithm>
#include <utility>

#include "src/core/cell/CellScheduler.h"

namespace foxtailbarrow::cell {

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
  worker.mReported = aState;
  worker.mSendWhole = false;
  worker.mLastOrder = 0;
  worker.mForeign.clear();
  worker.mAnswers = true;
  worker.mAwaitsReport = false;
  worker.mAnsweredAt = {};
  worker.mUnwellAfter.reset();
  // Until the first report, leases are those that an earlier owner granted.
  worker.mHeldUntil =
    std::max(worker.mHeldUntil, aClock.mNow + mSettings.mHold);
  mOrders.erase(aAgent);
  Tell("worker-attached", {}, aAgent, aSession, "session");
  TakeInfo(worker, aState.mInfo, aClock);
  TakeEnds(worker, aState.mEnded, aClock);
  TakeTold(worker, aState.mCrashes, aClock);
  TakeRunning(worker, aState.mRunning, Duration::zero(), aClock);
  ExplainLosses(worker);
  // Orders of earlier sessions are dead, so that what is not there never comes.
  DropAbsentRuns(worker, aState.mRunning, kAllOrders, aClock);
  TellTraits(worker);
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
  worker.mSendWhole =
    aReport.mBase != 0 && aReport.mBase != worker.mLastSequence;
  if (worker.mSendWhole) {
    return true;
  }
  worker.mLastSequence = aReport.mSequence;
  worker.mAwaitsReport = false;
  TakeSilence(worker, aReport, aClock);
  if (aReport.mBase == 0) {
    worker.mReported = aReport.mState;
  } else if (aReport.mChange) {
    Apply(*aReport.mChange, worker.mReported);
  }
  TakeState(worker, aReport, aClock);
  return true;
}

void CellScheduler::TakeState(WorkerEntry& aWorker,
                              const ReportRequest& aReport,
                              const CellClock& aClock)
{
  const bool whole = aReport.mBase == 0;
  const WorkerState& state = aWorker.mReported;
  if (whole || (aReport.mChange && aReport.mChange->mInfo)) {
    TakeInfo(aWorker, state.mInfo, aClock);
  }
  if (!state.mInfo.mIncarnation.Empty()) {
    mExpected.erase(aReport.mAgent);
  }
  if (whole || (aReport.mChange && !aReport.mChange->mEnded.empty())) {
    TakeEnds(aWorker, state.mEnded, aClock);
  }
  if (whole) {
    TakeTold(aWorker, state.mCrashes, aClock);
  }
  if (aReport.mWorkerAnswers) {
    ExplainLosses(aWorker);
    aWorker.mEnded = false;
  } else if (aReport.mWorkerEnded && !aWorker.mEnded) {
    TakeEndOfWorker(aWorker, "worker-ended", aClock);
    aWorker.mEnded = true;
  }
  aWorker.mAnsweredAt = std::max(aWorker.mAnsweredAt, aReport.mAnsweredAt);
  TakeRunning(aWorker, state.mRunning, aReport.mAnsweredAt, aClock);
  DropAbsentRuns(aWorker, state.mRunning, aReport.mOrdersDone, aClock);
  if (whole || (aReport.mChange && aReport.mChange->mFigures)) {
    Learn(aWorker, state.mRunning, aClock);
  }
}

/// What the agent remembers of crashes: an owner that took the cell over in
/// between has not seen these runs.
void CellScheduler::TakeTold(const WorkerEntry& aWorker,
                             const std::vector<CrashedWorker>& aCrashes,
                             const CellClock& aClock)
{
  for (const CrashedWorker& crash : aCrashes) {
    TakeCrash(aWorker.mId, crash, aClock);
  }
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
  LoseRuns(worker, "worker-left", LossCause::Known, aClock);
  worker.mLink = WorkerLink::Lost;
  mOrders.erase(worker.mId);
}

bool CellScheduler::SendsWhole(const AgentId& aAgent) const
{
  const auto found = mWorkers.find(aAgent);
  return found != mWorkers.end() && found->second.mSendWhole;
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
    mPlacingChanged = true;
  }
  aWorker.mAnswers = aReport.mWorkerAnswers;
  if (!aWorker.mAnswers &&
      aClock.mNow > aWorker.mSilentLeaseEnd + mSettings.mLeaseMargin) {
    LoseRuns(aWorker, "worker-silent", LossCause::Unexplained, aClock);
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
    mPlacingChanged = mPlacingChanged || worker.mGrantedUntil == Instant{};
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
      run->Confirm(aClock.mNow);
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
    if (result.mOutcome == StartOutcome::NoTicket) {
      found->second.StepOf(result.mTask)
        .mAdvice.Reject(worker->second.mInfo.mIncarnation);
    }
    RemoveRun(found->second, result.mTask, aAgent, result.mRun, aClock);
    StopGang(found->second, result.mTask, result.mRun, aClock);
    if (result.mOutcome == StartOutcome::Unwell) {
      NoteUnwell(worker->second);
    }
    if (result.mOutcome == StartOutcome::OverCapacity) {
      worker->second.mAwaitsReport = true;
    } else {
      task->mNotBefore = aClock.mNow + mSettings.mRefusalPause;
    }
  }
}

void CellScheduler::NoteUnwell(WorkerEntry& aWorker)
{
  // Agents of earlier versions do not tell when their worker answered.
  if (aWorker.Unwell() || aWorker.mAnsweredAt == Duration::zero()) {
    return;
  }
  aWorker.mUnwellAfter = aWorker.mAnsweredAt;
  Tell("worker-unwell", {}, aWorker.mId, aWorker.mSession, "refused-start");
}

void CellScheduler::TakeInfo(WorkerEntry& aWorker,
                             const WorkerInfo& aInfo,
                             const CellClock& aClock)
{
  if (aInfo.mIncarnation.Empty()) {
    return; // An agent that has just started; the worker tells within seconds.
  }
  if (aWorker.mEnds.Incarnation() != aInfo.mIncarnation) {
    TakeReplaced(aWorker, aClock);
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
  mPlacingChanged = mPlacingChanged || aWorker.mInfo != aInfo;
  aWorker.mInfo = aInfo;
}

/// Another incarnation answers.
void CellScheduler::TakeReplaced(WorkerEntry& aWorker, const CellClock& aClock)
{
  if (aWorker.mInfo.mIncarnation.Empty()) {
    return;
  }
  if (aWorker.mEnded) {
    aWorker.mEnded = false; // Its end was taken as it came.
    return;
  }
  TakeEndOfWorker(aWorker, "worker-restarted", aClock);
}

/// All that the incarnation ran is lost. Unless it had said that it leaves, it
/// has crashed.
void CellScheduler::TakeEndOfWorker(WorkerEntry& aWorker,
                                    std::string_view aReason,
                                    const CellClock& aClock)
{
  const bool crashed = !aWorker.mInfo.mDraining;
  Tell(crashed ? "worker-crashed" : "worker-replaced",
       {},
       aWorker.mId,
       static_cast<RunNumber>(aWorker.mRuns.size()),
       aWorker.mInfo.mIncarnation.Value());
  const CrashedWorker crash = CrashOf(aWorker);
  aWorker.mUnexplained.clear();
  LoseRuns(aWorker, aReason, LossCause::Known, aClock);
  if (crashed) {
    ++mCrashFigures.mWorkers;
    aWorker.mCrashedAt = aClock.mNow;
    TakeCrash(aWorker.mId, crash, aClock);
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
    LoseRuns(worker, "leases-over", LossCause::Unexplained, aClock);
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

} // namespace foxtailbarrow::cell
