#include <algorithm>
#include <utility>

#include "src/core/job/JobScheduler.h"
#include "src/core/job/JobTransitions.h"

/// The part of JobScheduler that performs the next step for one job.
namespace foxtailbarrow {

void JobScheduler::Advance(JobEntry& aEntry, CallContext& aContext)
{
  // Any step other than AdvanceIdle() removes the job from the queue.
  const ReadyQueue::Ticket ticket = std::exchange(aEntry.mTicket, 0);
  if (WaitsForStore(aEntry, aContext)) {
    return;
  }
  if (IsFinal(aEntry.Record().mState)) {
    mAllocations.Release(aEntry);
    mTable.SetTimer(aEntry, aContext.mNow + mSettings.mForgetAfter);
    return;
  }
  if (aEntry.mEnd) {
    AdvanceEnd(aEntry, aContext);
    return;
  }
  if (aEntry.IsAssigned() && AdvanceAssigned(aEntry, aContext)) {
    return;
  }
  AdvanceIdle(aEntry, ticket, aContext);
}

bool JobScheduler::WaitsForStore(JobEntry& aEntry, CallContext& aContext)
{
  const bool unanswered = aEntry.mCommit && !aEntry.mCommit->mReplyLost;
  if (aEntry.mReading || unanswered) {
    return true;
  }
  if (aContext.mNow < aEntry.mRetryAt) {
    mTable.SetTimer(aEntry, aEntry.mRetryAt);
    return true;
  }
  if (aEntry.mMustRead) {
    RequestRead(aEntry.mShard, aEntry.Spec().mId, aContext);
    return true;
  }
  return false;
}

void JobScheduler::AdvanceEnd(JobEntry& aEntry, CallContext& aContext)
{
  if (!aEntry.mOutcomeRecorded) {
    RecordOutcome(aEntry, aContext);
    aEntry.mOutcomeRecorded = true;
  }
  JobRecord record = aEntry.Record();
  record.mCancelRequested = aEntry.CancelPending();
  if (aEntry.mEnd->mState == TaskState::Failed) {
    ++mCounters.mFailedAttempts;
    aEntry.mNotBefore = aContext.mNow + Backoff(mSettings.mFirstBackoff,
                                                mSettings.mMaxBackoff,
                                                record.mAttempts + 1,
                                                aContext);
  }
  Commit(aEntry,
         AfterEnd(std::move(record), *aEntry.mEnd, mSettings.mAttemptsLimit),
         aContext);
}

/// Returns true while the assignment may run, so that the job is not idle.
bool JobScheduler::AdvanceAssigned(JobEntry& aEntry, CallContext& aContext)
{
  if (aEntry.mAssignmentState == AssignmentState::Released) {
    return false;
  }
  if (aEntry.mAssignmentState == AssignmentState::Unsent) {
    if (aEntry.CancelPending()) {
      Release(aEntry, Reason::CancelRequested, aContext);
      return false;
    }
    SendAssignIfDue(aEntry, aContext);
    return aEntry.mAssignmentState != AssignmentState::Released;
  }
  const Instant lapsed = LapsedAt(aEntry);
  if (aContext.mNow >= lapsed) {
    ++mCounters.mLapsed;
    Release(aEntry, Reason::LeaseLapsed, aContext);
    return false;
  }
  Instant timer = lapsed;
  if (aEntry.CancelPending()) {
    if (!aEntry.Record().mCancelRequested) {
      JobRecord marked = aEntry.Record();
      marked.mCancelRequested = true;
      Commit(aEntry, std::move(marked), aContext);
      return true;
    }
    SendControlIfDue(
      aEntry, TaskAction::Stop, Reason::CancelRequested, aContext);
    timer = std::min(timer, aEntry.mResendAt);
  } else if (aEntry.mEvictReason != Reason::None) {
    SendControlIfDue(aEntry, TaskAction::Evict, aEntry.mEvictReason, aContext);
    timer = std::min(timer, aEntry.mResendAt);
  } else if (aEntry.mAssignReplyLost) {
    SendAssignIfDue(aEntry, aContext);
    timer = std::min(timer, aEntry.mResendAt);
  }
  mTable.SetTimer(aEntry, std::max(timer, aContext.mNow + Duration(1)));
  return true;
}

Instant JobScheduler::LapsedAt(const JobEntry& aEntry) const
{
  if (aEntry.mInherited && !mShards.at(aEntry.mShard).mCleared) {
    return Instant::max();
  }
  const auto slot = mAllocations.Workers().SlotOf(*aEntry.Record().mAgent);
  return slot ? mBounds.LapsedAt(*slot, aEntry.mLease)
              : mBounds.LapsedWithoutHeartbeat(aEntry.mLease);
}

void JobScheduler::Release(JobEntry& aEntry,
                           Reason aReason,
                           CallContext& aContext)
{
  aEntry.mAssignmentState = AssignmentState::Released;
  aEntry.mAssignInFlight = false;
  aEntry.mAssignReplyLost = false;
  mAllocations.Release(aEntry);
  RecordDecision(aEntry, aReason, aContext);
}

/// Handles a job that certainly does not run. It keeps its queue position.
void JobScheduler::AdvanceIdle(JobEntry& aEntry,
                               ReadyQueue::Ticket aTicket,
                               CallContext& aContext)
{
  if (aEntry.CancelPending()) {
    Commit(aEntry, Cancelled(aEntry.Record()), aContext);
    return;
  }
  if (aEntry.Record().mState == JobState::Parked) {
    AdvanceParked(aEntry, aContext);
    return;
  }
  if (aContext.mNow < aEntry.mNotBefore) {
    mTable.SetTimer(aEntry, aEntry.mNotBefore);
    return;
  }
  if (aEntry.mWaitingSince == Instant{}) {
    aEntry.mWaitingSince = aContext.mNow;
  }
  aEntry.mTicket = aTicket;
  if (aTicket == 0) {
    const JobSpec& spec = aEntry.Spec();
    aEntry.mTicket = mReady.Push(spec.mCustomer, spec.mPriority, spec.mId);
  }
}

void JobScheduler::AdvanceParked(JobEntry& aEntry, CallContext& aContext)
{
  const JobSpec& spec = aEntry.Spec();
  const bool fits =
    mAllocations.Workers().FitsSomewhereEmpty(SizeOf(aEntry)) &&
    mAllocations.Quotas().CanEverRun(spec.mCustomer, SizeOf(aEntry));
  if (fits) {
    Commit(aEntry, Requeued(aEntry.Record(), Reason::None), aContext);
    return;
  }
  mTable.SetTimer(aEntry, aContext.mNow + mSettings.mParkedRecheck);
}

} // namespace foxtailbarrow
