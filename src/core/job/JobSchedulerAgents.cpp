#include <algorithm>

#include "src/core/job/JobScheduler.h"

/// The part of JobScheduler that communicates with agents.
namespace foxtailbarrow {

void JobScheduler::On(const HeartbeatReceived& aEvent, CallContext& aContext)
{
  const Heartbeat& heartbeat = aEvent.mHeartbeat;
  const auto slot = mAllocations.Workers().Update(heartbeat, aContext.mNow);
  if (!slot) {
    ++mCounters.mStaleHeartbeats;
    return;
  }
  mBounds.OnHeartbeat(*slot, heartbeat, aContext.mNow);
  OnUsage(heartbeat.mUsage);
  for (const TaskReport& report : heartbeat.mTasks) {
    OnReport(heartbeat.mAgent, *slot, report, aContext);
  }
  ExtendLeases extension;
  extension.mAgent = heartbeat.mAgent;
  extension.mIncarnation = heartbeat.mIncarnation;
  extension.mSequence = heartbeat.mSequence;
  for (const auto& [shard, owned] : mShards) {
    extension.mLeases.push_back(
      { shard, owned.mGeneration, mSettings.mTaskLease });
  }
  aContext.mActions.push_back(std::move(extension));
}

void JobScheduler::On(const HeartbeatReplySent& aEvent, CallContext&)
{
  if (const auto slot = mAllocations.Workers().SlotOf(aEvent.mAgent)) {
    mBounds.OnLeasesExtended(
      *slot, aEvent.mIncarnation, aEvent.mSequence, aEvent.mUntil);
  }
}

void JobScheduler::OnReport(const AgentId& aAgent,
                            WorkerSlot aSlot,
                            const TaskReport& aReport,
                            CallContext& aContext)
{
  if (!Owns(aReport.mShard)) {
    return;
  }
  const TaskKey& key = aReport.mStatus.mKey;
  JobEntry* entry = mTable.Find(key.mJob);
  if (entry == nullptr) {
    if (mMissing.contains(key.mJob)) {
      OnSupersededReport(aAgent, aReport.mStatus, aContext);
    } else {
      RequestRead(aReport.mShard, key.mJob, aContext);
    }
    return;
  }
  if (key.mEpoch > entry->Record().mEpoch) {
    entry->mMustRead = true;
    Advance(*entry, aContext);
    return;
  }
  const bool current = key.mEpoch == entry->Record().mEpoch &&
                       entry->IsAssigned() && entry->Record().mAgent == aAgent;
  if (current) {
    OnCurrentReport(*entry, aSlot, aReport.mStatus, aContext);
  } else {
    OnSupersededReport(aAgent, aReport.mStatus, aContext);
  }
}

void JobScheduler::OnCurrentReport(JobEntry& aEntry,
                                   WorkerSlot aSlot,
                                   const TaskStatus& aStatus,
                                   CallContext& aContext)
{
  const bool leavesAssignment =
    aEntry.mCommit && (aEntry.mCommit->mIsAssignment ||
                       aEntry.mCommit->mNext.mState != JobState::Assigned);
  if (leavesAssignment) {
    return;
  }
  if (aStatus.mState != TaskState::Running) {
    aEntry.mEnd = std::make_unique<TaskStatus>(aStatus);
    Advance(aEntry, aContext);
    return;
  }
  aEntry.mLease.mListedUntil = aContext.mNow + mSettings.mTaskLease;
  mAllocations.Confirm(aEntry, aSlot, aStatus.mReserved);
  if (aEntry.mAssignmentState != AssignmentState::Running) {
    aEntry.mAssignmentState = AssignmentState::Running;
    aEntry.mStartedAt = aContext.mNow;
    aEntry.mAssignReplyLost = false;
    aEntry.mTicket = 0;
    RecordDecision(aEntry, Reason::None, aContext, aSlot);
    Advance(aEntry, aContext);
  }
}

void JobScheduler::OnSupersededReport(const AgentId& aAgent,
                                      const TaskStatus& aStatus,
                                      CallContext& aContext)
{
  if (aStatus.mState == TaskState::Running) {
    ++mCounters.mDisowned;
    aContext.mActions.push_back(DisownTasks{ aAgent, { aStatus.mKey } });
  } else {
    aContext.mActions.push_back(AcknowledgeTasks{ aAgent, { aStatus.mKey } });
  }
}

void JobScheduler::SendAssignIfDue(JobEntry& aEntry, CallContext& aContext)
{
  const AgentId& agent = *aEntry.Record().mAgent;
  const WorkerIndex& workers = mAllocations.Workers();
  const auto slot = workers.SlotOf(agent);
  const bool first = aEntry.mAssignmentState == AssignmentState::Unsent;
  if (first && (!slot || !workers.Placeable(*slot))) {
    Release(aEntry, Reason::WaitingForCapacity, aContext);
    return;
  }
  if (aEntry.mAssignInFlight || aContext.mNow < aEntry.mResendAt) {
    return;
  }
  aEntry.mResendAt = aContext.mNow + mSettings.mResendAfter;
  const LeaseBasis& basis = mBounds.Basis(*slot);
  const OwnedShard& shard = mShards.at(aEntry.mShard);
  // A later incarnation may run on a new, empty worker while the task still
  // runs on the machine that was replaced.
  const bool sameAgent = first || basis.mIncarnation == aEntry.mSentTo;
  const bool fresh = basis.mValid && basis.mReceived >= shard.mAcquiredAt &&
                     aContext.mNow < basis.mReceived + mSuspectAfter;
  if (!sameAgent || !fresh) {
    aEntry.mResendAt = aContext.mNow + mSettings.mResendAfter / 10;
    mTable.SetTimer(aEntry, aEntry.mResendAt);
    return;
  }
  aEntry.mAssignmentState = AssignmentState::Unconfirmed;
  aEntry.mSentTo = basis.mIncarnation;
  aEntry.mAssignInFlight = true;
  aEntry.mLease.mStartUntil = mBounds.StartUntil(basis);
  const JobSpec& spec = aEntry.Spec();
  Assign assign;
  assign.mShard = aEntry.mShard;
  assign.mGeneration = shard.mGeneration;
  assign.mTask.mKey = aEntry.Key();
  assign.mTask.mCustomer = spec.mCustomer;
  assign.mTask.mKind = spec.mKind;
  assign.mTask.mResources = aEntry.mAllocation->mSize;
  assign.mTask.mProgram = spec.mProgram;
  assign.mTask.mArguments = spec.mArguments;
  assign.mTask.mCheckpoint = aEntry.Record().mCheckpoint;
  assign.mTask.mLease = mSettings.mTaskLease;
  assign.mUrgent = spec.mPriority == JobPriority::Urgent;
  if (const Contract* contract = mAllocations.Quotas().Find(spec.mCustomer)) {
    assign.mSharePerWorker = contract->mBatch.mSharePerWorker;
  }
  assign.mIncarnation = basis.mIncarnation;
  assign.mSequence = basis.mSequence;
  aContext.mActions.push_back(
    SendAssign{ agent, workers.At(*slot).mEndpoint, std::move(assign) });
  mTable.SetTimer(aEntry, aEntry.mResendAt);
}

void JobScheduler::SendControlIfDue(JobEntry& aEntry,
                                    TaskAction aAction,
                                    Reason aReason,
                                    CallContext& aContext)
{
  const AgentId& agent = *aEntry.Record().mAgent;
  const auto slot = mAllocations.Workers().SlotOf(agent);
  if (!slot || aContext.mNow < aEntry.mResendAt) {
    aEntry.mResendAt =
      std::max(aEntry.mResendAt, aContext.mNow + mSettings.mResendAfter);
    return;
  }
  aEntry.mResendAt = aContext.mNow + mSettings.mResendAfter;
  Control control;
  control.mShard = aEntry.mShard;
  control.mGeneration = mShards.at(aEntry.mShard).mGeneration;
  control.mKey = aEntry.Key();
  control.mAction = aAction;
  control.mReason = aReason;
  aContext.mActions.push_back(SendControl{
    agent, mAllocations.Workers().At(*slot).mEndpoint, std::move(control) });
}

void JobScheduler::On(const AssignDone& aEvent, CallContext& aContext)
{
  JobEntry* entry = mTable.Find(aEvent.mKey.mJob);
  if (entry == nullptr || entry->Key() != aEvent.mKey || !entry->IsAssigned() ||
      !entry->mAssignInFlight) {
    return;
  }
  entry->mAssignInFlight = false;
  if (!aEvent.mReply.ok()) {
    const bool neverRan =
      VerdictOf(aEvent.mReply.status()) == Verdict::NotRun &&
      !entry->mAssignReplyLost;
    if (neverRan && entry->mAssignmentState == AssignmentState::Unconfirmed) {
      OnRefusal(*entry, AssignReply{}, aContext);
    } else {
      entry->mAssignReplyLost =
        entry->mAssignmentState == AssignmentState::Unconfirmed;
    }
  } else if (aEvent.mReply->mGranted) {
    ++mCounters.mGranted;
    entry->mAssignReplyLost = false;
  } else if (aEvent.mReply->mVerdict == Verdict::NotRun) {
    OnRefusal(*entry, *aEvent.mReply, aContext);
  }
  Advance(*entry, aContext);
}

void JobScheduler::OnRefusal(JobEntry& aEntry,
                             const AssignReply& aReply,
                             CallContext& aContext)
{
  ++mCounters.mRefused;
  if (const auto slot =
        mAllocations.Workers().SlotOf(*aEntry.Record().mAgent)) {
    if (aReply.mReason == Reason::CapacityTaken) {
      mAllocations.Workers().CorrectFree(*slot, aReply.mFree);
    }
    Avoid(aEntry, *slot);
  }
  Release(aEntry, aReply.mReason, aContext);
}

/// Records a worker to avoid for the job, keeping the last kAvoidLimit.
void JobScheduler::Avoid(JobEntry& aEntry, WorkerSlot aSlot)
{
  constexpr std::size_t kAvoidLimit = 8;
  if (aEntry.mAvoid.size() == kAvoidLimit) {
    aEntry.mAvoid.erase(aEntry.mAvoid.begin());
  }
  aEntry.mAvoid.push_back(aSlot);
}

void JobScheduler::On(const ControlDone& aEvent, CallContext& aContext)
{
  if (!aEvent.mReply.ok()) {
    return;
  }
  JobEntry* entry = mTable.Find(aEvent.mKey.mJob);
  if (entry == nullptr || entry->Key() != aEvent.mKey || !entry->IsAssigned()) {
    return;
  }
  const TaskStatus& status = aEvent.mReply->mStatus;
  const auto slot = mAllocations.Workers().SlotOf(*entry->Record().mAgent);
  if (slot && status.mKey == aEvent.mKey &&
      status.mState != TaskState::Running) {
    OnCurrentReport(*entry, *slot, status, aContext);
  }
}

} // namespace foxtailbarrow
