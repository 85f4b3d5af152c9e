#include "src/core/job/JobScheduler.h"

#include <algorithm>
#include <utility>

#include "absl/random/uniform_real_distribution.h"

#include "src/core/job/JobTransitions.h"

namespace foxtailbarrow {

namespace {

/// Heartbeats that a worker may miss before nothing is placed on it.
constexpr int kSuspectIntervals = 4;

} // namespace

JobScheduler::JobScheduler(const JobSchedulerSettings& aSettings)
  : mSettings(aSettings)
  , mSuspectAfter(aSettings.mSuspectAfter)
  , mBounds(aSettings.mTaskLease, aSettings.mLeaseMargin)
{
}

void JobScheduler::ExpectInterval(Duration aInterval)
{
  mSuspectAfter =
    std::max(mSettings.mSuspectAfter, aInterval * kSuspectIntervals);
}

JobScheduler::Actions JobScheduler::Handle(const JobEvent& aEvent,
                                           Instant aNow,
                                           absl::BitGenRef aRandom)
{
  Turn turn{ aNow, aRandom, {} };
  std::visit([this, &turn](const auto& aKind) { On(aKind, turn); }, aEvent);
  return std::move(turn.mActions);
}

const JobRecord* JobScheduler::Find(const JobId& aJob) const
{
  const JobEntry* entry = mTable.Find(aJob);
  return entry == nullptr ? nullptr : &entry->Record();
}

std::span<const Decision> JobScheduler::Explain(const JobId& aJob) const
{
  const JobEntry* entry = mTable.Find(aJob);
  return entry == nullptr ? std::span<const Decision>{}
                          : entry->mDecisions.Entries();
}

void JobScheduler::On(const ShardAcquired& aEvent, Turn& aTurn)
{
  On(ShardLost{ aEvent.mShard }, aTurn);
  mShards[aEvent.mShard] = { aEvent.mGeneration, aTurn.mNow, aEvent.mCleared };
  for (const StoredJob& job : aEvent.mJobs) {
    if (!IsFinal(job.mRecord.mState)) {
      Adopt(mTable.Insert(aEvent.mShard, job), aTurn);
    }
  }
}

void JobScheduler::On(const ShardCleared& aEvent, Turn& aTurn)
{
  const auto shard = mShards.find(aEvent.mShard);
  if (shard == mShards.end() || shard->second.mCleared) {
    return;
  }
  shard->second.mCleared = true;
  for (const JobId& job : mTable.JobsOf(aEvent.mShard)) {
    if (JobEntry* entry = mTable.Find(job); entry->mInherited) {
      Advance(*entry, aTurn);
    }
  }
}

void JobScheduler::On(const ShardLost& aEvent, Turn&)
{
  if (mShards.erase(aEvent.mShard) == 0) {
    return;
  }
  for (const JobId& job : mTable.JobsOf(aEvent.mShard)) {
    Drop(job);
  }
  const auto inShard = [&aEvent](const auto& aAsked) {
    return aAsked.second == aEvent.mShard;
  };
  absl::erase_if(mMissing, inShard);
  absl::erase_if(mAsked, inShard);
}

void JobScheduler::On(const CancelRequested& aEvent, Turn& aTurn)
{
  JobEntry* entry = mTable.Find(aEvent.mJob);
  if (entry != nullptr && !IsFinal(entry->Record().mState)) {
    entry->mCancelWanted = true;
    Note(*entry, Reason::CancelRequested, aTurn);
    Advance(*entry, aTurn);
  }
}

void JobScheduler::On(const ContractsChanged& aEvent, Turn&)
{
  for (const Contract& contract : aEvent.mChanged) {
    mBooks.Quotas().Apply(contract);
  }
  for (const CustomerId& customer : aEvent.mRemoved) {
    mBooks.Quotas().Remove(customer);
  }
}

void JobScheduler::On(const UsageSeen& aEvent, Turn&)
{
  TakeUsage(aEvent.mSamples);
}

void JobScheduler::On(const Tick&, Turn& aTurn)
{
  mBooks.Workers().Sweep(aTurn.mNow, mSuspectAfter);
  for (const WorkerSlot slot : mJudge.Readmitted(aTurn.mNow)) {
    mBooks.Workers().SetQuarantined(slot, false);
  }
  while (JobEntry* due = mTable.PopDue(aTurn.mNow)) {
    if (IsFinal(due->Record().mState)) {
      Drop(JobId(due->Spec().mId));
    } else {
      Advance(*due, aTurn);
    }
  }
  PlaceWaiting(aTurn);
}

void JobScheduler::Drop(const JobId& aJob)
{
  if (JobEntry* entry = mTable.Find(aJob)) {
    mBooks.Release(*entry);
    if (entry->mCommit) {
      mCommits.erase(entry->mCommit->mToken);
    }
    mTable.Erase(aJob);
  }
}

void JobScheduler::Note(JobEntry& aEntry,
                        Reason aReason,
                        const Turn& aTurn,
                        WorkerSlot aWorker)
{
  Decision decision;
  decision.mAt = aTurn.mNow;
  decision.mEpoch = aEntry.Record().mEpoch;
  decision.mWorker = aWorker;
  decision.mState = aEntry.Record().mState;
  decision.mReason = aReason;
  aEntry.mDecisions.Note(decision);
}

Duration JobScheduler::Backoff(Duration aFirst,
                               Duration aMax,
                               std::int32_t aTimes,
                               Turn& aTurn) const
{
  constexpr std::int32_t kMaxDoublings = 20;
  const std::int32_t doublings = std::clamp(aTimes - 1, 0, kMaxDoublings);
  const Duration full = std::min<Duration>(aMax, aFirst * (1LL << doublings));
  // Half fixed, half random, so that jobs which failed together part.
  absl::uniform_real_distribution<double> jitter(0.5, 1.0);
  return std::chrono::duration_cast<Duration>(full * jitter(aTurn.mRandom));
}

} // namespace foxtailbarrow
