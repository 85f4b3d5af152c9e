#include <algorithm>
#include <utility>

#include "src/core/job/JobScheduler.h"
#include "src/core/job/JobTransitions.h"

/// The part of JobScheduler that reads and commits records.
namespace foxtailbarrow {

void JobScheduler::Adopt(JobEntry& aEntry, CallContext& aContext)
{
  mAllocations.Release(aEntry);
  aEntry.mEnd.reset();
  aEntry.mOutcomeRecorded = false;
  aEntry.mEvictReason = Reason::None;
  aEntry.mReservedOn.reset();
  aEntry.mAssignInFlight = false;
  aEntry.mAssignReplyLost = false;
  aEntry.mAssignmentState = AssignmentState::Unconfirmed;
  aEntry.mInherited = aEntry.IsAssigned();
  if (aEntry.IsAssigned()) {
    // It was assigned before now, by a process that held a lease.
    aEntry.mLease = { aContext.mNow + mSettings.mTaskLease, Instant{} };
    const auto worker = mAllocations.Workers().SlotOf(*aEntry.Record().mAgent);
    mAllocations.Adopt(aEntry, worker, aEntry.Spec().mDeclared);
    RecordDecision(aEntry, Reason::WaitingForLease, aContext);
  }
  Advance(aEntry, aContext);
}

void JobScheduler::On(const JobRead& aEvent, CallContext& aContext)
{
  const JobId& job = aEvent.mJob.mRecord.mSpec.mId;
  mUnknownReads.erase(job);
  mMissing.erase(job);
  if (JobEntry* entry = mTable.Find(job)) {
    entry->mReading = false;
    OnRecordRead(*entry, aEvent.mJob, aContext);
    return;
  }
  if (Owns(aEvent.mShard)) {
    Adopt(mTable.Insert(aEvent.mShard, aEvent.mJob), aContext);
  }
}

void JobScheduler::OnRecordRead(JobEntry& aEntry,
                                const StoredJob& aRead,
                                CallContext& aContext)
{
  aEntry.mSeenRevision = std::max(aEntry.mSeenRevision, aRead.mRevision);
  if (aEntry.mCommit && aEntry.mCommit->mReplyLost) {
    ResolveLostCommit(aEntry, aRead, aContext);
  } else if (!aEntry.mCommit && aRead.mRevision > aEntry.mStored.mRevision) {
    const JobRecord before = std::exchange(aEntry.mStored, aRead).mRecord;
    const bool sameRun = before.mEpoch == aRead.mRecord.mEpoch &&
                         before.mState == aRead.mRecord.mState;
    if (!sameRun) {
      Adopt(aEntry, aContext);
      return;
    }
  }
  aEntry.mMustRead = false;
  Advance(aEntry, aContext);
}

void JobScheduler::ResolveLostCommit(JobEntry& aEntry,
                                     const StoredJob& aRead,
                                     CallContext& aContext)
{
  aEntry.mCommit->mReplyLost = false;
  if (aRead.mRevision < aEntry.mStored.mRevision) {
    aEntry.mCommit->mReplyLost = true;
    aEntry.mMustRead = true;
    return;
  }
  if (aRead.mRevision == aEntry.mStored.mRevision) {
    // The write may still be applied; every later commit then conflicts.
    OnCommitNotApplied(aEntry);
    return;
  }
  if (SameProgress(aEntry.mCommit->mNext, aRead.mRecord)) {
    OnCommitApplied(aEntry, aRead.mRevision, aContext);
    return;
  }
  OnCommitNotApplied(aEntry);
  aEntry.mStored = aRead;
  Adopt(aEntry, aContext);
}

void JobScheduler::On(const JobMissing& aEvent, CallContext&)
{
  mUnknownReads.erase(aEvent.mJob);
  if (!Owns(aEvent.mShard)) {
    return;
  }
  Drop(aEvent.mJob);
  // Clearing costs only additional reads.
  constexpr std::size_t kMaxMissing = 10'000;
  if (mMissing.size() >= kMaxMissing) {
    mMissing.clear();
  }
  mMissing[aEvent.mJob] = aEvent.mShard;
}

void JobScheduler::On(const JobReadFailed& aEvent, CallContext& aContext)
{
  mUnknownReads.erase(aEvent.mJob);
  if (JobEntry* entry = mTable.Find(aEvent.mJob); entry && entry->mReading) {
    entry->mReading = false;
    entry->mMustRead = true;
    entry->mRetryAt = aContext.mNow + Backoff(mSettings.mStoreBackoff,
                                              mSettings.mMaxStoreBackoff,
                                              ++entry->mRetries,
                                              aContext);
    Advance(*entry, aContext);
  }
}

void JobScheduler::RequestRead(ShardId aShard,
                               const JobId& aJob,
                               CallContext& aContext)
{
  if (JobEntry* entry = mTable.Find(aJob)) {
    entry->mReading = true;
    entry->mMustRead = false;
  } else if (!mUnknownReads.emplace(aJob, aShard).second) {
    return;
  }
  aContext.mActions.push_back(ReadJob{ aShard, aJob });
}

void JobScheduler::Commit(JobEntry& aEntry,
                          JobRecord aNext,
                          CallContext& aContext)
{
  const CommitToken token = ++mLastToken;
  const Generation generation = mShards.at(aEntry.mShard).mGeneration;
  PendingCommit pending;
  pending.mToken = token;
  pending.mNext = std::move(aNext);
  pending.mIsAssignment = pending.mNext.mEpoch > aEntry.Record().mEpoch;
  if (aEntry.mEnd) {
    pending.mEnded = aEntry.mEnd->mKey;
  }
  aContext.mActions.push_back(CommitRecord{ token,
                                            aEntry.mShard,
                                            generation,
                                            pending.mNext,
                                            aEntry.mStored.mRevision });
  aEntry.mCommit = std::make_unique<PendingCommit>(std::move(pending));
  mCommits.emplace(token, aEntry.Spec().mId);
  ++mCounters.mCommits;
}

void JobScheduler::On(const CommitDone& aEvent, CallContext& aContext)
{
  const auto found = mCommits.find(aEvent.mToken);
  if (found == mCommits.end()) {
    return;
  }
  JobEntry& entry = *mTable.Find(found->second);
  if (entry.mCommit->mReplyLost) {
    return;
  }
  if (aEvent.mOutcome == CommitOutcome::Applied) {
    OnCommitApplied(entry, aEvent.mRevision, aContext);
    Advance(entry, aContext);
    return;
  }
  if (aEvent.mOutcome == CommitOutcome::Unknown) {
    ++mCounters.mLostCommits;
    entry.mCommit->mReplyLost = true;
    entry.mMustRead = true;
  } else {
    OnCommitNotApplied(entry);
  }
  if (aEvent.mOutcome == CommitOutcome::Conflict) {
    ++mCounters.mConflicts;
    entry.mMustRead = true;
  } else {
    RecordDecision(entry, Reason::WaitingForStore, aContext);
    entry.mRetryAt = aContext.mNow + Backoff(mSettings.mStoreBackoff,
                                             mSettings.mMaxStoreBackoff,
                                             ++entry.mRetries,
                                             aContext);
  }
  Advance(entry, aContext);
}

void JobScheduler::OnCommitNotApplied(JobEntry& aEntry)
{
  mCommits.erase(aEntry.mCommit->mToken);
  if (aEntry.mCommit->mIsAssignment) {
    mAllocations.Release(aEntry);
    aEntry.mReservedOn.reset();
  }
  aEntry.mCommit.reset();
}

void JobScheduler::OnCommitApplied(JobEntry& aEntry,
                                   Revision aRevision,
                                   CallContext& aContext)
{
  PendingCommit done = std::move(*aEntry.mCommit);
  aEntry.mCommit.reset();
  mCommits.erase(done.mToken);
  aEntry.mStored = { std::move(done.mNext), aRevision };
  aEntry.mMustRead = aEntry.mSeenRevision > aRevision;
  aEntry.mSeenRevision = std::max(aEntry.mSeenRevision, aRevision);
  aEntry.mRetries = 0;
  aEntry.mRetryAt = Instant{};
  if (done.mIsAssignment) {
    ++mCounters.mPlaced;
    aEntry.mAssignmentState = AssignmentState::Unsent;
    aEntry.mInherited = false;
    aEntry.mLease = {};
    aEntry.mWaitingSince = Instant{};
    aEntry.mResendAt = Instant{};
    aEntry.mAssignInFlight = false;
    aEntry.mAssignReplyLost = false;
    aEntry.mPeak = {};
    aEntry.mStartedAt = Instant{};
    aEntry.mEvictReason = Reason::None;
    aEntry.mReservedOn.reset();
  } else if (aEntry.IsAssigned()) {
    aEntry.mResendAt = Instant{}; // Send a stop now.
  } else {
    mAllocations.Release(aEntry);
    CountEnd(aEntry.Record());
  }
  if (done.mEnded) {
    aEntry.mEnd.reset();
    aEntry.mOutcomeRecorded = false;
    aContext.mActions.push_back(
      AcknowledgeTasks{ *aEntry.Record().mAgent, { *done.mEnded } });
  }
}

void JobScheduler::CountEnd(const JobRecord& aRecord)
{
  mCounters.mFinished += aRecord.mState == JobState::Finished ? 1 : 0;
  mCounters.mFailed += aRecord.mState == JobState::Failed ? 1 : 0;
  mCounters.mCancelled += aRecord.mState == JobState::Cancelled ? 1 : 0;
  mCounters.mParked += aRecord.mState == JobState::Parked ? 1 : 0;
  mCounters.mEvicted += aRecord.mState == JobState::Suspended ? 1 : 0;
}

} // namespace foxtailbarrow
