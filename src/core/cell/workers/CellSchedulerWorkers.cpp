#include <algorithm>
#include <utility>

#include "src/core/cell/CellScheduler.h"
#include "src/core/cell/recovery/RecordClosing.h"

namespace foxtailbarrow::cell {

void CellScheduler::SetRecordClosed(const AgentId& aAgent, bool aClosed)
{
  if (const auto found = mWorkers.find(aAgent); found != mWorkers.end()) {
    mNeedsPlacement = mNeedsPlacement || found->second.mRecordClosed != aClosed;
    found->second.mRecordClosed = aClosed;
  }
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
  worker.mSendFullState = false;
  worker.mLastOrder = 0;
  worker.mForeign.clear();
  worker.mAnswers = true;
  worker.mAwaitsReport = false;
  worker.mAnsweredAt = {};
  worker.mUnhealthyAfter.reset();
  // Leases granted by an earlier owner may still be in force.
  worker.mLeasedUntil =
    std::max(worker.mLeasedUntil, aClock.mNow + mSettings.mMaxTaskLease);
  mOrders.erase(aAgent);
  worker.mUnsentBytes = 0;
  LogDecision("worker-attached", {}, aAgent, aSession, "session");
  UpdateInfo(worker, aState, aClock);
  OnEndedTasks(worker, aState.mEnded, aClock);
  OnReportedCrashes(worker, aState.mCrashes, aClock);
  OnRunningTasks(worker, aState.mRunning, Duration::zero(), aClock);
  ClearUnexplainedLosses(worker);
  // Orders of earlier sessions are void: a run that is absent never starts.
  DropAbsentRuns(worker, aState.mRunning, kAllOrders, aClock);
  SendMetadata(worker);
  for (const auto& [task, number] : worker.mRuns) {
    mJobs.at(task.mJob).FindRun(task, aAgent, number)->mOrderNumber = 0;
  }
  if (!aState.mInfo.mIncarnation.Empty()) {
    mUnreported.OnReported(aAgent);
  }
}

bool CellScheduler::HandleReport(const ReportRequest& aReport,
                                 const CellClock& aClock)
{
  const auto found = mWorkers.find(aReport.mAgent);
  const bool inSession = found != mWorkers.end() &&
                         found->second.mLink == WorkerLink::Attached &&
                         found->second.mSession == aReport.mSession;
  if (aReport.mState.mInfo.mLeft) {
    OnWorkerLeft(aReport, inSession, aClock);
    return false;
  }
  if (!inSession) {
    return false;
  }
  WorkerEntry& worker = found->second;
  if (aReport.mSequence <= worker.mLastSequence) {
    return true; // A newer report arrived first.
  }
  worker.mSendFullState =
    aReport.mBase != 0 && aReport.mBase != worker.mLastSequence;
  if (worker.mSendFullState) {
    return true;
  }
  worker.mLastSequence = aReport.mSequence;
  worker.mAwaitsReport = false;
  UpdateReachability(worker, aReport, aClock);
  if (aReport.mBase == 0) {
    worker.mReported = aReport.mState;
  } else if (aReport.mChange) {
    Apply(*aReport.mChange, worker.mReported);
  }
  ApplyReport(worker, aReport, aClock);
  return true;
}

void CellScheduler::ApplyReport(WorkerEntry& aWorker,
                                const ReportRequest& aReport,
                                const CellClock& aClock)
{
  const bool full = aReport.mBase == 0;
  const WorkerState& state = aWorker.mReported;
  if (full || (aReport.mChange && aReport.mChange->mInfo)) {
    UpdateInfo(aWorker, state, aClock);
  }
  if (!state.mInfo.mIncarnation.Empty()) {
    mUnreported.OnReported(aReport.mAgent);
  }
  if (full || (aReport.mChange && !aReport.mChange->mEnded.empty())) {
    OnEndedTasks(aWorker, state.mEnded, aClock);
  }
  if (full) {
    OnReportedCrashes(aWorker, state.mCrashes, aClock);
  }
  if (aReport.mWorkerAnswers) {
    ClearUnexplainedLosses(aWorker);
    aWorker.mEnded = false;
  } else if (aReport.mWorkerEnded && !aWorker.mEnded) {
    OnWorkerEnded(aWorker, "worker-ended", {}, aClock);
    aWorker.mEnded = true;
  }
  aWorker.mAnsweredAt = std::max(aWorker.mAnsweredAt, aReport.mAnsweredAt);
  OnRunningTasks(aWorker, state.mRunning, aReport.mAnsweredAt, aClock);
  DropAbsentRuns(aWorker, state.mRunning, aReport.mOrdersDone, aClock);
  if (full || (aReport.mChange && aReport.mChange->mFigures)) {
    Learn(aWorker, state.mRunning, aClock);
  }
}

/// Counts the crashes that the agent remembers; an owner that took over since
/// has not seen these runs.
void CellScheduler::OnReportedCrashes(
  const WorkerEntry& aWorker,
  const std::vector<CrashedWorker>& aCrashes,
  const CellClock& aClock)
{
  for (const CrashedWorker& crash : aCrashes) {
    OnWorkerCrash(aWorker.mId, crash, aClock);
  }
}

/// Handles the last report of a worker that left: its ended tasks count, and
/// its other runs are lost at once, without waiting for their leases.
void CellScheduler::OnWorkerLeft(const ReportRequest& aReport,
                                 bool aInSession,
                                 const CellClock& aClock)
{
  const auto [entry, first] = mWorkers.try_emplace(aReport.mAgent);
  WorkerEntry& worker = entry->second;
  const bool stale = aInSession
                       ? aReport.mSequence <= worker.mLastSequence
                       : !first && (worker.mLink == WorkerLink::Attached ||
                                    !worker.mInfo.mIncarnation.MayBeSame(
                                      aReport.mState.mInfo.mIncarnation));
  if (stale || worker.mLink == WorkerLink::Lost) {
    return;
  }
  worker.mId = aReport.mAgent;
  worker.mEndpoint = aReport.mEndpoint;
  mUnreported.OnReported(aReport.mAgent);
  // An end is a fact, whichever owner the agent reported to before.
  UpdateInfo(worker, aReport.mState, aClock);
  OnEndedTasks(worker, aReport.mState.mEnded, aClock);
  LogDecision("worker-lost", {}, worker.mId, worker.mSession, "left");
  OnRunsLost(worker, "worker-left", LossCause::Known, aClock);
  worker.mLink = WorkerLink::Lost;
  mOrders.erase(worker.mId);
}

bool CellScheduler::NeedsFullState(const AgentId& aAgent) const
{
  const auto found = mWorkers.find(aAgent);
  return found != mWorkers.end() && found->second.mSendFullState;
}

bool CellScheduler::RunsNothing(const AgentId& aAgent) const
{
  const auto found = mWorkers.find(aAgent);
  return found != mWorkers.end() && found->second.mLink == WorkerLink::Lost;
}

std::vector<TaskRef> CellScheduler::TasksToAwait(const AgentId& aAgent) const
{
  const auto found = mWorkers.find(aAgent);
  if (found == mWorkers.end()) {
    return {};
  }
  return cell::TasksToAwait(
    found->second, [this](const JobId& aJob) { return SavedVersion(aJob); });
}

/// A worker that does not answer its agent keeps its runs until its leases
/// expire.
void CellScheduler::UpdateReachability(WorkerEntry& aWorker,
                                       const ReportRequest& aReport,
                                       const CellClock& aClock)
{
  if (aWorker.mAnswers != aReport.mWorkerAnswers) {
    LogDecision(aReport.mWorkerAnswers ? "worker-answers" : "worker-silent",
                {},
                aWorker.mId,
                aWorker.mSession,
                ToString(aReport.mState.mInfo.mIncarnation));
    aWorker.mSilentLeaseEnd = aClock.mNow + aReport.mLeaseLeft;
    mNeedsPlacement = true;
  }
  aWorker.mAnswers = aReport.mWorkerAnswers;
  if (!aWorker.mAnswers && LeasesAreOver(aWorker.mSilentLeaseEnd)) {
    OnRunsLost(aWorker, "worker-silent", LossCause::Unexplained, aClock);
  }
}

void CellScheduler::DetachWorker(const AgentId& aAgent, const CellClock& aClock)
{
  if (const auto found = mWorkers.find(aAgent);
      found != mWorkers.end() && found->second.mLink == WorkerLink::Attached) {
    found->second.mLink = WorkerLink::Detached;
    found->second.mDetachedAt = aClock.mNow;
    mOrders.erase(aAgent);
    LogDecision(
      "worker-detached", {}, aAgent, found->second.mSession, "silent");
  }
}

void CellScheduler::OnGrant(const AgentId& aAgent, Instant aUntil)
{
  if (const auto found = mWorkers.find(aAgent); found != mWorkers.end()) {
    WorkerEntry& worker = found->second;
    mNeedsPlacement = mNeedsPlacement || worker.mGrantedUntil == Instant{};
    worker.mGrantedUntil = std::max(worker.mGrantedUntil, aUntil);
    worker.mLeasedUntil = std::max(worker.mLeasedUntil, aUntil);
  }
}

void CellScheduler::OnStartResults(const AgentId& aAgent,
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
    TaskRun* run = found == mJobs.end()
                     ? nullptr
                     : found->second.FindRun(result.mTask, aAgent, result.mRun);
    if (run == nullptr) {
      continue; // The run's end was reported first.
    }
    if (result.mOutcome == StartOutcome::Started) {
      run->Confirm(aClock.mNow);
      if (found->second.mPhase == JobPhase::Queued) {
        found->second.mPhase = JobPhase::Running;
      }
      continue;
    }
    LogDecision("task-start-refused",
                result.mTask,
                aAgent,
                result.mRun,
                ToString(result.mOutcome));
    if (result.mOutcome == StartOutcome::NoTicket) {
      found->second.StepOf(result.mTask)
        .mAdvice.OnTicketRejected(worker->second.mInfo.mIncarnation);
    }
    RemoveRun(found->second, result.mTask, aAgent, result.mRun, aClock);
    StopGang(found->second, result.mTask, result.mRun, aClock);
    if (result.mOutcome == StartOutcome::Unhealthy) {
      MarkUnhealthy(worker->second);
    }
    if (result.mOutcome == StartOutcome::OverCapacity) {
      worker->second.mAwaitsReport = true;
    } else {
      found->second.Touch(result.mTask).mNotBefore =
        aClock.mNow + mSettings.mRefusalPause;
    }
  }
}

void CellScheduler::MarkUnhealthy(WorkerEntry& aWorker)
{
  // Agents of earlier versions do not report when their worker answered.
  if (aWorker.Unhealthy() || aWorker.mAnsweredAt == Duration::zero()) {
    return;
  }
  aWorker.mUnhealthyAfter = aWorker.mAnsweredAt;
  LogDecision(
    "worker-unwell", {}, aWorker.mId, aWorker.mSession, "refused-start");
}

void CellScheduler::UpdateInfo(WorkerEntry& aWorker,
                               const WorkerState& aState,
                               const CellClock& aClock)
{
  const WorkerInfo& info = aState.mInfo;
  if (info.mIncarnation.Empty()) {
    return; // The agent has just started and has no answer of its worker yet.
  }
  if (aWorker.mEnds.Incarnation() != info.mIncarnation) {
    // An agent of an earlier version does not state when the worker started.
    // Absent runs are then dropped one by one.
    if (!aWorker.mInfo.mIncarnation.MayBeSame(info.mIncarnation)) {
      OnWorkerReplaced(aWorker, aState, aClock);
    }
    aWorker.mEnds.Reset(info.mIncarnation);
    aWorker.mForeign.clear();
    aWorker.mAvoidUntil = {};
    aWorker.mFailuresInRow = 0;
    aWorker.mFailingJobs.clear();
  }
  if (info.mDraining && !aWorker.mInfo.mDraining) {
    LogDecision(
      "worker-draining", {}, aWorker.mId, 0, ToString(info.mIncarnation));
  }
  if (info.mDraining) {
    aWorker.mLeavesAt = aClock.mNow + info.mDrainLeft;
  }
  mNeedsPlacement = mNeedsPlacement || aWorker.mInfo != info;
  aWorker.mInfo = info;
  UpdateCordon(aWorker, aClock);
}

/// Another incarnation of the worker answers.
void CellScheduler::OnWorkerReplaced(WorkerEntry& aWorker,
                                     const WorkerState& aNext,
                                     const CellClock& aClock)
{
  if (aWorker.mInfo.mIncarnation.Empty()) {
    return;
  }
  if (aWorker.mEnded) {
    aWorker.mEnded = false; // Its end is already handled.
    return;
  }
  OnWorkerEnded(aWorker, "worker-restarted", aNext, aClock);
}

/// All runs of the incarnation are lost but those that `aNext` lists: a late
/// order can be carried out by the next incarnation. Unless it was draining, it
/// has crashed.
void CellScheduler::OnWorkerEnded(WorkerEntry& aWorker,
                                  std::string_view aReason,
                                  const WorkerState& aNext,
                                  const CellClock& aClock)
{
  const bool crashed = !aWorker.mInfo.mDraining;
  LogDecision(crashed ? "worker-crashed" : "worker-replaced",
              {},
              aWorker.mId,
              static_cast<RunNumber>(aWorker.mRuns.size()),
              ToString(aWorker.mInfo.mIncarnation));
  const CrashedWorker crash = CrashOf(aWorker);
  aWorker.mUnexplained.clear();
  OnRunsLost(aWorker, aReason, LossCause::Known, aClock, aNext);
  if (crashed) {
    ++mCrashCounters.mWorkers;
    aWorker.mCrashedAt = aClock.mNow;
    OnWorkerCrash(aWorker.mId, crash, aClock);
  }
}

/// True if this process still owned the cell once the leases had expired.
/// Otherwise another owner may have extended them and have acknowledged ends of
/// the tasks: an owner that is cut off together with some of the workers would
/// start these tasks again.
bool CellScheduler::LeasesAreOver(Instant aLeaseEnd) const
{
  return mConfirmedAt >= aLeaseEnd + mSettings.mLeaseMargin;
}

void CellScheduler::ExpireWorkers(const CellClock& aClock)
{
  for (auto& [id, worker] : mWorkers) {
    if (worker.mLink != WorkerLink::Detached ||
        !LeasesAreOver(worker.mLeasedUntil)) {
      continue;
    }
    worker.mLink = WorkerLink::Lost;
    LogDecision("worker-lost", {}, id, worker.mSession, "leases-over");
    OnRunsLost(worker, "leases-over", LossCause::Unexplained, aClock);
  }
}

/// Stops the standing tasks of a draining worker at once, and other tasks with
/// checkpoints shortly before it leaves.
void CellScheduler::DrainWorker(WorkerEntry& aWorker, const CellClock& aClock)
{
  const bool leaves =
    aClock.mNow >= aWorker.mLeavesAt - mSettings.StopBeforeLeave();
  for (const auto& [task, number] : aWorker.mRuns) {
    JobEntry& job = mJobs.at(task.mJob);
    const StepSpec& spec = job.Spec(task);
    TaskRun* run = job.FindRun(task, aWorker.mId, number);
    if (run->mPhase != RunPhase::Running ||
        !(spec.mStanding || (leaves && spec.mCheckpoints))) {
      continue;
    }
    StopRun(*run, task, "worker-draining", aClock);
  }
}

} // namespace foxtailbarrow::cell
