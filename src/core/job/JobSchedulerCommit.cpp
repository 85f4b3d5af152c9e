#include <algorithm>
#include <utility>

#include "src/core/job/JobScheduler.h"
#include "src/core/job/JobTransitions.h"

/// The part of JobScheduler that reads and writes records.
namespace foxtailbarrow {

void JobScheduler::Adopt(JobEntry& aEntry, Turn& aTurn)
{
  mBooks.Release(aEntry);
  aEntry.mEnd.reset();
  aEntry.mJudged = false;
  aEntry.mEvictReason = Reason::None;
  aEntry.mHeldFor.reset();
  aEntry.mAnswerDue = false;
  aEntry.mAnswerLost = false;
  aEntry.mWhereabouts = Whereabouts::Unconfirmed;
  aEntry.mInherited = aEntry.IsAssigned();
  if (aEntry.IsAssigned()) {
    // Whoever assigned it did so before now, on a lease that it held.
    aEntry.mLease = { aTurn.mNow + mSettings.mTaskLease, Instant{} };
    const auto worker = mBooks.Workers().SlotOf(*aEntry.Record().mAgent);
    mBooks.Adopt(aEntry, worker, aEntry.Spec().mDeclared);
    Note(aEntry, Reason::WaitingForLease, aTurn);
  }
  Advance(aEntry, aTurn);
}

void JobScheduler::On(const JobRead& aEvent, Turn& aTurn)
{
  const JobId& job = aEvent.mJob.mRecord.mSpec.mId;
  mAsked.erase(job);
  mMissing.erase(job);
  if (JobEntry* entry = mTable.Find(job)) {
    entry->mReading = false;
    TakeRead(*entry, aEvent.mJob, aTurn);
    return;
  }
  if (Owns(aEvent.mShard)) {
    Adopt(mTable.Insert(aEvent.mShard, aEvent.mJob), aTurn);
  }
}

void JobScheduler::TakeRead(JobEntry& aEntry,
                            const StoredJob& aRead,
                            Turn& aTurn)
{
  aEntry.mSeenRevision = std::max(aEntry.mSeenRevision, aRead.mRevision);
  if (aEntry.mCommit && aEntry.mCommit->mLost) {
    ResolveLost(aEntry, aRead, aTurn);
  } else if (!aEntry.mCommit && aRead.mRevision > aEntry.mStored.mRevision) {
    const JobRecord before = std::exchange(aEntry.mStored, aRead).mRecord;
    const bool sameRun = before.mEpoch == aRead.mRecord.mEpoch &&
                         before.mState == aRead.mRecord.mState;
    if (!sameRun) {
      Adopt(aEntry, aTurn);
      return;
    }
  }
  aEntry.mMustRead = false;
  Advance(aEntry, aTurn);
}

void JobScheduler::ResolveLost(JobEntry& aEntry,
                               const StoredJob& aRead,
                               Turn& aTurn)
{
  aEntry.mCommit->mLost = false;
  if (aRead.mRevision < aEntry.mStored.mRevision) {
    aEntry.mCommit->mLost = true;
    aEntry.mMustRead = true;
    return;
  }
  if (aRead.mRevision == aEntry.mStored.mRevision) {
    // It may still land; then every later commit of ours will conflict.
    NotApplied(aEntry);
    return;
  }
  if (SameProgress(aEntry.mCommit->mNext, aRead.mRecord)) {
    Applied(aEntry, aRead.mRevision, aTurn);
    return;
  }
  NotApplied(aEntry);
  aEntry.mStored = aRead;
  Adopt(aEntry, aTurn);
}

void JobScheduler::On(const JobMissing& aEvent, Turn&)
{
  mAsked.erase(aEvent.mJob);
  if (!Owns(aEvent.mShard)) {
    return;
  }
  Drop(aEvent.mJob);
  // Forgetting only costs another read.
  constexpr std::size_t kMaxMissing = 10'000;
  if (mMissing.size() >= kMaxMissing) {
    mMissing.clear();
  }
  mMissing[aEvent.mJob] = aEvent.mShard;
}

void JobScheduler::On(const JobReadFailed& aEvent, Turn& aTurn)
{
  mAsked.erase(aEvent.mJob);
  if (JobEntry* entry = mTable.Find(aEvent.mJob); entry && entry->mReading) {
    entry->mReading = false;
    entry->mMustRead = true;
    entry->mRetryAt = aTurn.mNow + Backoff(mSettings.mStoreBackoff,
                                           mSettings.mMaxStoreBackoff,
                                           ++entry->mRetries,
                                           aTurn);
    Advance(*entry, aTurn);
  }
}

void JobScheduler::RequestRead(ShardId aShard, const JobId& aJob, Turn& aTurn)
{
  if (JobEntry* entry = mTable.Find(aJob)) {
    entry->mReading = true;
    entry->mMustRead = false;
  } else if (!mAsked.emplace(aJob, aShard).second) {
    return;
  }
  aTurn.mActions.push_back(ReadJob{ aShard, aJob });
}

void JobScheduler::Commit(JobEntry& aEntry, JobRecord aNext, Turn& aTurn)
{
  const CommitToken token = ++mLastToken;
  const Generation generation = mShards.at(aEntry.mShard).mGeneration;
  PendingCommit pending;
  pending.mToken = token;
  pending.mNext = std::move(aNext);
  pending.mPlaces = pending.mNext.mEpoch > aEntry.Record().mEpoch;
  if (aEntry.mEnd) {
    pending.mEnded = aEntry.mEnd->mKey;
  }
  aTurn.mActions.push_back(CommitRecord{ token,
                                         aEntry.mShard,
                                         generation,
                                         pending.mNext,
                                         aEntry.mStored.mRevision });
  aEntry.mCommit = std::make_unique<PendingCommit>(std::move(pending));
  mCommits.emplace(token, aEntry.Spec().mId);
  ++mCounters.mCommits;
}

void JobScheduler::On(const CommitDone& aEvent, Turn& aTurn)
{
  const auto found = mCommits.find(aEvent.mToken);
  if (found == mCommits.end()) {
    return;
  }
  JobEntry& entry = *mTable.Find(found->second);
  if (entry.mCommit->mLost) {
    return;
  }
  if (aEvent.mOutcome == CommitOutcome::Applied) {
    Applied(entry, aEvent.mRevision, aTurn);
    Advance(entry, aTurn);
    return;
  }
  if (aEvent.mOutcome == CommitOutcome::Unknown) {
    ++mCounters.mLostCommits;
    entry.mCommit->mLost = true;
    entry.mMustRead = true;
  } else {
    NotApplied(entry);
  }
  if (aEvent.mOutcome == CommitOutcome::Conflict) {
    ++mCounters.mConflicts;
    entry.mMustRead = true;
  } else {
    Note(entry, Reason::WaitingForStore, aTurn);
    entry.mRetryAt = aTurn.mNow + Backoff(mSettings.mStoreBackoff,
                                          mSettings.mMaxStoreBackoff,
                                          ++entry.mRetries,
                                          aTurn);
  }
  Advance(entry, aTurn);
}

void JobScheduler::NotApplied(JobEntry& aEntry)
{
  mCommits.erase(aEntry.mCommit->mToken);
  if (aEntry.mCommit->mPlaces) {
    mBooks.Release(aEntry);
    aEntry.mHeldFor.reset();
  }
  aEntry.mCommit.reset();
}

void JobScheduler::Applied(JobEntry& aEntry, Revision aRevision, Turn& aTurn)
{
  PendingCommit done = std::move(*aEntry.mCommit);
  aEntry.mCommit.reset();
  mCommits.erase(done.mToken);
  aEntry.mStored = { std::move(done.mNext), aRevision };
  aEntry.mMustRead = aEntry.mSeenRevision > aRevision;
  aEntry.mSeenRevision = std::max(aEntry.mSeenRevision, aRevision);
  aEntry.mRetries = 0;
  aEntry.mRetryAt = Instant{};
  if (done.mPlaces) {
    ++mCounters.mPlaced;
    aEntry.mWhereabouts = Whereabouts::Unsent;
    aEntry.mInherited = false;
    aEntry.mLease = {};
    aEntry.mWaitingSince = Instant{};
    aEntry.mResendAt = Instant{};
    aEntry.mAnswerDue = false;
    aEntry.mAnswerLost = false;
    aEntry.mPeak = {};
    aEntry.mStartedAt = Instant{};
    aEntry.mEvictReason = Reason::None;
    aEntry.mHeldFor.reset();
  } else if (aEntry.IsAssigned()) {
    aEntry.mResendAt = Instant{}; // A stop is due now.
  } else {
    mBooks.Release(aEntry);
    CountEnd(aEntry.Record());
  }
  if (done.mEnded) {
    aEntry.mEnd.reset();
    aEntry.mJudged = false;
    aTurn.mActions.push_back(
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
