#include "src/core/job/JobScheduler.h"

#include <algorithm>
#include <utility>

#include "absl/random/uniform_real_distribution.h"

#include "src/core/job/JobTransitions.h"

namespace foxtailbarrow {

namespace {

/// Heartbeats that a worker may miss before it becomes suspect.
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
  CallContext context{ aNow, aRandom, {} };
  std::visit([this, &context](const auto& aKind) { On(aKind, context); },
             aEvent);
  return std::move(context.mActions);
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

void JobScheduler::On(const ShardAcquired& aEvent, CallContext& aContext)
{
  On(ShardLost{ aEvent.mShard }, aContext);
  mShards[aEvent.mShard] = { aEvent.mGeneration,
                             aContext.mNow,
                             aEvent.mCleared };
  for (const StoredJob& job : aEvent.mJobs) {
    if (!IsFinal(job.mRecord.mState)) {
      Adopt(mTable.Insert(aEvent.mShard, job), aContext);
    }
  }
}

void JobScheduler::On(const ShardCleared& aEvent, CallContext& aContext)
{
  const auto shard = mShards.find(aEvent.mShard);
  if (shard == mShards.end() || shard->second.mCleared) {
    return;
  }
  shard->second.mCleared = true;
  for (const JobId& job : mTable.JobsOf(aEvent.mShard)) {
    if (JobEntry* entry = mTable.Find(job); entry->mInherited) {
      Advance(*entry, aContext);
    }
  }
}

void JobScheduler::On(const ShardLost& aEvent, CallContext&)
{
  if (mShards.erase(aEvent.mShard) == 0) {
    return;
  }
  for (const JobId& job : mTable.JobsOf(aEvent.mShard)) {
    Drop(job);
  }
  const auto inShard = [&aEvent](const auto& aRead) {
    return aRead.second == aEvent.mShard;
  };
  absl::erase_if(mMissing, inShard);
  absl::erase_if(mUnknownReads, inShard);
}

void JobScheduler::On(const CancelRequested& aEvent, CallContext& aContext)
{
  JobEntry* entry = mTable.Find(aEvent.mJob);
  if (entry != nullptr && !IsFinal(entry->Record().mState)) {
    entry->mCancelWanted = true;
    RecordDecision(*entry, Reason::CancelRequested, aContext);
    Advance(*entry, aContext);
  }
}

void JobScheduler::On(const ContractsChanged& aEvent, CallContext&)
{
  for (const Contract& contract : aEvent.mChanged) {
    mAllocations.Quotas().Apply(contract);
  }
  for (const CustomerId& customer : aEvent.mRemoved) {
    mAllocations.Quotas().Remove(customer);
  }
}

void JobScheduler::On(const UsageReceived& aEvent, CallContext&)
{
  OnUsage(aEvent.mSamples);
}

void JobScheduler::On(const Tick&, CallContext& aContext)
{
  mAllocations.Workers().MarkSuspects(aContext.mNow, mSuspectAfter);
  for (const WorkerSlot slot :
       mQuarantinePolicy.EndQuarantines(aContext.mNow)) {
    mAllocations.Workers().SetQuarantined(slot, false);
  }
  while (JobEntry* due = mTable.PopDue(aContext.mNow)) {
    if (IsFinal(due->Record().mState)) {
      Drop(JobId(due->Spec().mId));
    } else {
      Advance(*due, aContext);
    }
  }
  PlaceWaiting(aContext);
}

void JobScheduler::Drop(const JobId& aJob)
{
  if (JobEntry* entry = mTable.Find(aJob)) {
    mAllocations.Release(*entry);
    if (entry->mCommit) {
      mCommits.erase(entry->mCommit->mToken);
    }
    mTable.Erase(aJob);
  }
}

void JobScheduler::RecordDecision(JobEntry& aEntry,
                                  Reason aReason,
                                  const CallContext& aContext,
                                  WorkerSlot aWorker)
{
  Decision decision;
  decision.mAt = aContext.mNow;
  decision.mEpoch = aEntry.Record().mEpoch;
  decision.mWorker = aWorker;
  decision.mState = aEntry.Record().mState;
  decision.mReason = aReason;
  aEntry.mDecisions.Add(decision);
}

Duration JobScheduler::Backoff(Duration aFirst,
                               Duration aMax,
                               std::int32_t aTimes,
                               CallContext& aContext) const
{
  constexpr std::int32_t kMaxDoublings = 20;
  const std::int32_t doublings = std::clamp(aTimes - 1, 0, kMaxDoublings);
  const Duration full = std::min<Duration>(aMax, aFirst * (1LL << doublings));
  // Half fixed, half random, to spread jobs that failed together.
  absl::uniform_real_distribution<double> jitter(0.5, 1.0);
  return std::chrono::duration_cast<Duration>(full * jitter(aContext.mRandom));
}

} // namespace foxtailbarrow
