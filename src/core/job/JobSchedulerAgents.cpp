#include <algorithm>

#include "src/core/job/JobScheduler.h"

/// The part of JobScheduler that talks with agents.
namespace foxtailbarrow {

void JobScheduler::On(const HeartbeatSeen& aEvent, Turn& aTurn)
{
  const Heartbeat& heartbeat = aEvent.mHeartbeat;
  const auto slot = mBooks.Workers().Update(heartbeat, aTurn.mNow);
  if (!slot) {
    ++mCounters.mStaleHeartbeats;
    return;
  }
  mBounds.Received(*slot, heartbeat, aTurn.mNow);
  TakeUsage(heartbeat.mUsage);
  for (const TaskReport& report : heartbeat.mTasks) {
    TakeReport(heartbeat.mAgent, *slot, report, aTurn);
  }
  ExtendLeases extension;
  extension.mAgent = heartbeat.mAgent;
  extension.mIncarnation = heartbeat.mIncarnation;
  extension.mSequence = heartbeat.mSequence;
  for (const auto& [shard, owned] : mShards) {
    extension.mLeases.push_back(
      { shard, owned.mGeneration, mSettings.mTaskLease });
  }
  aTurn.mActions.push_back(std::move(extension));
}

void JobScheduler::On(const HeartbeatReplySent& aEvent, Turn&)
{
  if (const auto slot = mBooks.Workers().SlotOf(aEvent.mAgent)) {
    mBounds.Extended(
      *slot, aEvent.mIncarnation, aEvent.mSequence, aEvent.mUntil);
  }
}

void JobScheduler::TakeReport(const AgentId& aAgent,
                              WorkerSlot aSlot,
                              const TaskReport& aReport,
                              Turn& aTurn)
{
  if (!Owns(aReport.mShard)) {
    return;
  }
  const TaskKey& key = aReport.mStatus.mKey;
  JobEntry* entry = mTable.Find(key.mJob);
  if (entry == nullptr) {
    if (mMissing.contains(key.mJob)) {
      TakeSuperseded(aAgent, aReport.mStatus, aTurn);
    } else {
      RequestRead(aReport.mShard, key.mJob, aTurn);
    }
    return;
  }
  if (key.mEpoch > entry->Record().mEpoch) {
    entry->mMustRead = true;
    Advance(*entry, aTurn);
    return;
  }
  const bool current = key.mEpoch == entry->Record().mEpoch &&
                       entry->IsAssigned() && entry->Record().mAgent == aAgent;
  if (current) {
    TakeCurrent(*entry, aSlot, aReport.mStatus, aTurn);
  } else {
    TakeSuperseded(aAgent, aReport.mStatus, aTurn);
  }
}

void JobScheduler::TakeCurrent(JobEntry& aEntry,
                               WorkerSlot aSlot,
                               const TaskStatus& aStatus,
                               Turn& aTurn)
{
  const bool movesOn =
    aEntry.mCommit && (aEntry.mCommit->mPlaces ||
                       aEntry.mCommit->mNext.mState != JobState::Assigned);
  if (movesOn) {
    return;
  }
  if (aStatus.mState != TaskState::Running) {
    aEntry.mEnd = std::make_unique<TaskStatus>(aStatus);
    Advance(aEntry, aTurn);
    return;
  }
  aEntry.mLease.mListedUntil = aTurn.mNow + mSettings.mTaskLease;
  mBooks.Confirm(aEntry, aSlot, aStatus.mReserved);
  if (aEntry.mWhereabouts != Whereabouts::Running) {
    aEntry.mWhereabouts = Whereabouts::Running;
    aEntry.mStartedAt = aTurn.mNow;
    aEntry.mAnswerLost = false;
    aEntry.mTicket = 0;
    Note(aEntry, Reason::None, aTurn, aSlot);
    Advance(aEntry, aTurn);
  }
}

void JobScheduler::TakeSuperseded(const AgentId& aAgent,
                                  const TaskStatus& aStatus,
                                  Turn& aTurn)
{
  if (aStatus.mState == TaskState::Running) {
    ++mCounters.mDisowned;
    aTurn.mActions.push_back(DisownTasks{ aAgent, { aStatus.mKey } });
  } else {
    aTurn.mActions.push_back(AcknowledgeTasks{ aAgent, { aStatus.mKey } });
  }
}

void JobScheduler::SendOwedAssign(JobEntry& aEntry, Turn& aTurn)
{
  const AgentId& agent = *aEntry.Record().mAgent;
  const WorkerIndex& workers = mBooks.Workers();
  const auto slot = workers.SlotOf(agent);
  const bool first = aEntry.mWhereabouts == Whereabouts::Unsent;
  if (first && (!slot || !workers.Placeable(*slot))) {
    Release(aEntry, Reason::WaitingForCapacity, aTurn);
    return;
  }
  if (aEntry.mAnswerDue || aTurn.mNow < aEntry.mResendAt) {
    return;
  }
  aEntry.mResendAt = aTurn.mNow + mSettings.mResendAfter;
  const LeaseBasis& basis = mBounds.Basis(*slot);
  const OwnedShard& shard = mShards.at(aEntry.mShard);
  // A start on another incarnation may find an empty worker, while the first
  // one runs on the machine that this one replaced.
  const bool sameAgent = first || basis.mIncarnation == aEntry.mSentTo;
  const bool fresh = basis.mValid && basis.mReceived >= shard.mAcquiredAt &&
                     aTurn.mNow < basis.mReceived + mSuspectAfter;
  if (!sameAgent || !fresh) {
    aEntry.mResendAt = aTurn.mNow + mSettings.mResendAfter / 10;
    mTable.Wake(aEntry, aEntry.mResendAt);
    return;
  }
  aEntry.mWhereabouts = Whereabouts::Unconfirmed;
  aEntry.mSentTo = basis.mIncarnation;
  aEntry.mAnswerDue = true;
  aEntry.mLease.mStartUntil = mBounds.StartUntil(basis);
  const JobSpec& spec = aEntry.Spec();
  Assign assign;
  assign.mShard = aEntry.mShard;
  assign.mGeneration = shard.mGeneration;
  assign.mTask.mKey = aEntry.Key();
  assign.mTask.mCustomer = spec.mCustomer;
  assign.mTask.mKind = spec.mKind;
  assign.mTask.mResources = aEntry.mBooking->mSize;
  assign.mTask.mProgram = spec.mProgram;
  assign.mTask.mArguments = spec.mArguments;
  assign.mTask.mCheckpoint = aEntry.Record().mCheckpoint;
  assign.mTask.mLease = mSettings.mTaskLease;
  assign.mUrgent = spec.mPriority == JobPriority::Urgent;
  if (const Contract* contract = mBooks.Quotas().Find(spec.mCustomer)) {
    assign.mSharePerWorker = contract->mBatch.mSharePerWorker;
  }
  assign.mIncarnation = basis.mIncarnation;
  assign.mSequence = basis.mSequence;
  aTurn.mActions.push_back(
    SendAssign{ agent, workers.At(*slot).mEndpoint, std::move(assign) });
  mTable.Wake(aEntry, aEntry.mResendAt);
}

void JobScheduler::SendOwedControl(JobEntry& aEntry,
                                   TaskAction aAction,
                                   Reason aReason,
                                   Turn& aTurn)
{
  const AgentId& agent = *aEntry.Record().mAgent;
  const auto slot = mBooks.Workers().SlotOf(agent);
  if (!slot || aTurn.mNow < aEntry.mResendAt) {
    aEntry.mResendAt =
      std::max(aEntry.mResendAt, aTurn.mNow + mSettings.mResendAfter);
    return;
  }
  aEntry.mResendAt = aTurn.mNow + mSettings.mResendAfter;
  Control control;
  control.mShard = aEntry.mShard;
  control.mGeneration = mShards.at(aEntry.mShard).mGeneration;
  control.mKey = aEntry.Key();
  control.mAction = aAction;
  control.mReason = aReason;
  aTurn.mActions.push_back(SendControl{
    agent, mBooks.Workers().At(*slot).mEndpoint, std::move(control) });
}

void JobScheduler::On(const AssignDone& aEvent, Turn& aTurn)
{
  JobEntry* entry = mTable.Find(aEvent.mKey.mJob);
  if (entry == nullptr || entry->Key() != aEvent.mKey || !entry->IsAssigned() ||
      !entry->mAnswerDue) {
    return;
  }
  entry->mAnswerDue = false;
  if (!aEvent.mReply.ok()) {
    const bool neverRan =
      VerdictOf(aEvent.mReply.status()) == Verdict::NotRun &&
      !entry->mAnswerLost;
    if (neverRan && entry->mWhereabouts == Whereabouts::Unconfirmed) {
      TakeRefusal(*entry, AssignReply{}, aTurn);
    } else {
      entry->mAnswerLost = entry->mWhereabouts == Whereabouts::Unconfirmed;
    }
  } else if (aEvent.mReply->mGranted) {
    ++mCounters.mGranted;
    entry->mAnswerLost = false;
  } else if (aEvent.mReply->mVerdict == Verdict::NotRun) {
    TakeRefusal(*entry, *aEvent.mReply, aTurn);
  }
  Advance(*entry, aTurn);
}

void JobScheduler::TakeRefusal(JobEntry& aEntry,
                               const AssignReply& aReply,
                               Turn& aTurn)
{
  ++mCounters.mRefused;
  if (const auto slot = mBooks.Workers().SlotOf(*aEntry.Record().mAgent)) {
    if (aReply.mReason == Reason::CapacityTaken) {
      mBooks.Workers().CorrectFree(*slot, aReply.mFree);
    }
    Avoid(aEntry, *slot);
  }
  Release(aEntry, aReply.mReason, aTurn);
}

/// Remembers, within limits, where the job did not do well.
void JobScheduler::Avoid(JobEntry& aEntry, WorkerSlot aSlot)
{
  constexpr std::size_t kAvoidLimit = 8;
  if (aEntry.mAvoid.size() == kAvoidLimit) {
    aEntry.mAvoid.erase(aEntry.mAvoid.begin());
  }
  aEntry.mAvoid.push_back(aSlot);
}

void JobScheduler::On(const ControlDone& aEvent, Turn& aTurn)
{
  if (!aEvent.mReply.ok()) {
    return;
  }
  JobEntry* entry = mTable.Find(aEvent.mKey.mJob);
  if (entry == nullptr || entry->Key() != aEvent.mKey || !entry->IsAssigned()) {
    return;
  }
  const TaskStatus& status = aEvent.mReply->mStatus;
  const auto slot = mBooks.Workers().SlotOf(*entry->Record().mAgent);
  if (slot && status.mKey == aEvent.mKey &&
      status.mState != TaskState::Running) {
    TakeCurrent(*entry, *slot, status, aTurn);
  }
}

} // namespace foxtailbarrow
