#include <algorithm>
#include <utility>

#include "src/core/job/JobScheduler.h"
#include "src/core/job/JobTransitions.h"

/// The part of JobScheduler that takes one job a step further.
namespace foxtailbarrow {

void JobScheduler::Advance(JobEntry& aEntry, Turn& aTurn)
{
  // Whatever else is due takes the job off the queue.
  const ReadyQueue::Ticket ticket = std::exchange(aEntry.mTicket, 0);
  if (WaitsForStore(aEntry, aTurn)) {
    return;
  }
  if (IsFinal(aEntry.Record().mState)) {
    mBooks.Release(aEntry);
    mTable.Wake(aEntry, aTurn.mNow + mSettings.mForgetAfter);
    return;
  }
  if (aEntry.mEnd) {
    AdvanceEnd(aEntry, aTurn);
    return;
  }
  if (aEntry.IsAssigned() && AdvanceAssigned(aEntry, aTurn)) {
    return;
  }
  AdvanceIdle(aEntry, ticket, aTurn);
}

bool JobScheduler::WaitsForStore(JobEntry& aEntry, Turn& aTurn)
{
  const bool unanswered = aEntry.mCommit && !aEntry.mCommit->mLost;
  if (aEntry.mReading || unanswered) {
    return true;
  }
  if (aTurn.mNow < aEntry.mRetryAt) {
    mTable.Wake(aEntry, aEntry.mRetryAt);
    return true;
  }
  if (aEntry.mMustRead) {
    RequestRead(aEntry.mShard, aEntry.Spec().mId, aTurn);
    return true;
  }
  return false;
}

void JobScheduler::AdvanceEnd(JobEntry& aEntry, Turn& aTurn)
{
  if (!aEntry.mJudged) {
    Judge(aEntry, aTurn);
    aEntry.mJudged = true;
  }
  JobRecord record = aEntry.Record();
  record.mCancelRequested = aEntry.CancelPending();
  if (aEntry.mEnd->mState == TaskState::Failed) {
    ++mCounters.mFailedAttempts;
    aEntry.mNotBefore = aTurn.mNow + Backoff(mSettings.mFirstBackoff,
                                             mSettings.mMaxBackoff,
                                             record.mAttempts + 1,
                                             aTurn);
  }
  Commit(aEntry,
         AfterEnd(std::move(record), *aEntry.mEnd, mSettings.mAttemptsLimit),
         aTurn);
}

/// True while the assignment may run, so that nothing else may be done.
bool JobScheduler::AdvanceAssigned(JobEntry& aEntry, Turn& aTurn)
{
  if (aEntry.mWhereabouts == Whereabouts::Released) {
    return false;
  }
  if (aEntry.mWhereabouts == Whereabouts::Unsent) {
    if (aEntry.CancelPending()) {
      Release(aEntry, Reason::CancelRequested, aTurn);
      return false;
    }
    SendOwedAssign(aEntry, aTurn);
    return aEntry.mWhereabouts != Whereabouts::Released;
  }
  const Instant lapsed = LapsedAt(aEntry);
  if (aTurn.mNow >= lapsed) {
    ++mCounters.mLapsed;
    Release(aEntry, Reason::LeaseLapsed, aTurn);
    return false;
  }
  Instant wake = lapsed;
  if (aEntry.CancelPending()) {
    if (!aEntry.Record().mCancelRequested) {
      JobRecord marked = aEntry.Record();
      marked.mCancelRequested = true;
      Commit(aEntry, std::move(marked), aTurn);
      return true;
    }
    SendOwedControl(aEntry, TaskAction::Stop, Reason::CancelRequested, aTurn);
    wake = std::min(wake, aEntry.mResendAt);
  } else if (aEntry.mEvictReason != Reason::None) {
    SendOwedControl(aEntry, TaskAction::Evict, aEntry.mEvictReason, aTurn);
    wake = std::min(wake, aEntry.mResendAt);
  } else if (aEntry.mAnswerLost) {
    SendOwedAssign(aEntry, aTurn);
    wake = std::min(wake, aEntry.mResendAt);
  }
  mTable.Wake(aEntry, std::max(wake, aTurn.mNow + Duration(1)));
  return true;
}

Instant JobScheduler::LapsedAt(const JobEntry& aEntry) const
{
  if (aEntry.mInherited && !mShards.at(aEntry.mShard).mCleared) {
    return Instant::max();
  }
  const auto slot = mBooks.Workers().SlotOf(*aEntry.Record().mAgent);
  return slot ? mBounds.LapsedAt(*slot, aEntry.mLease)
              : mBounds.LapsedUnheard(aEntry.mLease);
}

void JobScheduler::Release(JobEntry& aEntry, Reason aReason, Turn& aTurn)
{
  aEntry.mWhereabouts = Whereabouts::Released;
  aEntry.mAnswerDue = false;
  aEntry.mAnswerLost = false;
  mBooks.Release(aEntry);
  Note(aEntry, aReason, aTurn);
}

/// The job runs nowhere. It keeps the place in the queue that it had.
void JobScheduler::AdvanceIdle(JobEntry& aEntry,
                               ReadyQueue::Ticket aTicket,
                               Turn& aTurn)
{
  if (aEntry.CancelPending()) {
    Commit(aEntry, Cancelled(aEntry.Record()), aTurn);
    return;
  }
  if (aEntry.Record().mState == JobState::Parked) {
    AdvanceParked(aEntry, aTurn);
    return;
  }
  if (aTurn.mNow < aEntry.mNotBefore) {
    mTable.Wake(aEntry, aEntry.mNotBefore);
    return;
  }
  if (aEntry.mWaitingSince == Instant{}) {
    aEntry.mWaitingSince = aTurn.mNow;
  }
  aEntry.mTicket = aTicket;
  if (aTicket == 0) {
    const JobSpec& spec = aEntry.Spec();
    aEntry.mTicket = mReady.Push(spec.mCustomer, spec.mPriority, spec.mId);
  }
}

void JobScheduler::AdvanceParked(JobEntry& aEntry, Turn& aTurn)
{
  const JobSpec& spec = aEntry.Spec();
  const bool fits = mBooks.Workers().FitsSomewhereEmpty(SizeOf(aEntry)) &&
                    mBooks.Quotas().CanEverRun(spec.mCustomer, SizeOf(aEntry));
  if (fits) {
    Commit(aEntry, Requeued(aEntry.Record(), Reason::None), aTurn);
    return;
  }
  mTable.Wake(aEntry, aTurn.mNow + mSettings.mParkedRecheck);
}

} // namespace foxtailbarrow
