#include "apps/entry/JobDriver.h"

#include <utility>
#include <variant>

#include <boost/fiber/operations.hpp>

#include "absl/container/flat_hash_set.h"

#include "apps/entry/JobKeys.h"
#include "src/core/message/Codec.h"
#include "src/core/ownership/StoreKeys.h"
#include "src/net/TypedRpc.h"
#include "src/telemetry/Log.h"

namespace foxtailbarrow::entry {

namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(20);
constexpr Duration kAgentTimeout = std::chrono::seconds(2);
/// Longest time that a record waits to be batched with others.
constexpr Duration kCommitLinger = std::chrono::milliseconds(5);
/// Interval at which each owned shard is relisted.
constexpr Duration kRelistInterval = std::chrono::seconds(30);
constexpr Duration kMinRelistInterval = std::chrono::seconds(1);
constexpr Duration kListRetry = std::chrono::milliseconds(500);

/// The guard rejects the write if the shard has a new owner.
RecordWrite ToRecordWrite(const CommitRecord& aCommit)
{
  const std::string key = JobKey(aCommit.mShard, aCommit.mRecord.mSpec.mId);
  return { .mWrite = { key, ToJsonText(aCommit.mRecord), 0 },
           .mExpected = aCommit.mExpected,
           .mGuard =
             StoreCompare{ ShardKey(aCommit.mShard), aCommit.mGeneration } };
}

CommitDone ToCommitDone(CommitToken aToken,
                        const absl::StatusOr<Revision>& aWritten)
{
  if (aWritten.ok()) {
    return { aToken, CommitOutcome::Applied, *aWritten };
  }
  const absl::Status& status = aWritten.status();
  if (VerdictOf(status) != Verdict::NotRun) {
    return { aToken, CommitOutcome::Unknown, 0 };
  }
  const bool conflict =
    absl::IsAborted(status) || absl::IsFailedPrecondition(status);
  return { aToken,
           conflict ? CommitOutcome::Conflict : CommitOutcome::NotRun,
           0 };
}

std::optional<StoredJob> ParseStoredJob(const StoreEntry& aEntry)
{
  absl::StatusOr<JobRecord> record = FromJsonText<JobRecord>(aEntry.mValue);
  if (!record.ok()) {
    LogError("job-record-unreadable",
             { { "key", aEntry.mKey },
               { "problem", std::string(record.status().message()) } });
    return std::nullopt;
  }
  return StoredJob{ *std::move(record), aEntry.mModRevision };
}

} // namespace

JobDriver::JobDriver(ControlContext& aContext,
                     ShardPredicate aMayExtend,
                     ShardPredicate aMayReassign,
                     Duration aEndedRetention)
  : mContext(aContext)
  , mMayExtend(std::move(aMayExtend))
  , mMayReassign(std::move(aMayReassign))
  , mWriter(aContext.mStore,
            { .mLinger = kCommitLinger },
            [&aContext](std::function<void()> aBody) {
              aContext.mRuntime.Spawn(std::move(aBody));
            })
  , mEnded(aEndedRetention)
  , mDeleted(aContext.mMetrics.Counter(
      "job_records_deleted_total",
      "Records of ended jobs deleted after their retention"))
{
}

void JobDriver::Start()
{
  mContext.mRuntime.Spawn([this] {
    while (true) {
      Handle(Tick{});
      boost::this_fiber::sleep_for(kTickInterval);
    }
  });
  mContext.mRuntime.Spawn([this] {
    while (true) {
      const auto shards = static_cast<int>(std::max(mHeld.size(), 1UL));
      boost::this_fiber::sleep_for(
        std::max(kRelistInterval / shards, kMinRelistInterval));
      RelistNext();
    }
  });
}

void JobDriver::Handle(const JobEvent& aEvent)
{
  const JobScheduler::Actions actions =
    mScheduler.Handle(aEvent, MonotonicNow(), mRandom);
  for (const JobAction& action : actions) {
    std::visit([this](const auto& aAction) { Run(aAction); }, action);
  }
}

void JobDriver::OnShardAcquired(ShardId aShard, Generation aGeneration)
{
  mHeld[aShard] = aGeneration;
  mContext.mRuntime.Spawn(
    [this, aShard, aGeneration] { ListShard(aShard, aGeneration); });
}

void JobDriver::ListShard(ShardId aShard, Generation aGeneration)
{
  while (true) {
    const auto listing = mContext.mStore.List(JobShardPrefix(aShard));
    if (const auto held = mHeld.find(aShard);
        held == mHeld.end() || held->second != aGeneration) {
      return; // Lost or acquired anew in the meantime.
    }
    if (!listing.ok()) {
      boost::this_fiber::sleep_for(kListRetry);
      continue;
    }
    ShardAcquired event{ aShard, aGeneration, {}, mMayReassign(aShard) };
    for (const StoreEntry& entry : listing->mEntries) {
      if (auto job = ParseStoredJob(entry)) {
        event.mJobs.push_back(*std::move(job));
      }
    }
    Handle(event);
    return;
  }
}

/// Relists one owned shard after the other. Finds jobs whose notification was
/// never sent because the process that accepted them died.
void JobDriver::RelistNext()
{
  auto next = mHeld.upper_bound(mLastRelisted);
  if (next == mHeld.end()) {
    next = mHeld.begin();
  }
  if (next == mHeld.end()) {
    return;
  }
  mLastRelisted = next->first;
  const auto listing = mContext.mStore.List(JobShardPrefix(mLastRelisted));
  if (listing.ok()) {
    ReadChanged(mLastRelisted, *listing);
  }
}

void JobDriver::ReadChanged(ShardId aShard, const StoreListing& aListing)
{
  if (!mScheduler.Owns(aShard)) {
    return;
  }
  for (const StoreEntry& entry : aListing.mEntries) {
    const JobId job(entry.mKey.substr(JobShardPrefix(aShard).size()));
    const JobEntry* known = mScheduler.Jobs().Find(job);
    if (known != nullptr && known->mStored.mRevision >= entry.mModRevision) {
      continue;
    }
    if (auto stored = ParseStoredJob(entry)) {
      OnListed(aShard, *std::move(stored));
    }
  }
}

void JobDriver::OnListed(ShardId aShard, StoredJob aStored)
{
  if (!IsFinal(aStored.mRecord.mState)) {
    Handle(JobRead{ aShard, std::move(aStored) });
    return;
  }
  const JobId& job = aStored.mRecord.mSpec.mId;
  if (mEnded.OnFinalRecord(aShard, job, aStored.mRevision, MonotonicNow())) {
    DeleteEnded(aShard, aStored);
  }
}

void JobDriver::DeleteEnded(ShardId aShard, const StoredJob& aStored)
{
  const JobId job = aStored.mRecord.mSpec.mId;
  mEnded.Forget(aShard, job);
  const RecordWrite deletion{
    .mWrite = { JobKey(aShard, job), std::nullopt, 0 },
    .mExpected = aStored.mRevision,
    .mGuard = StoreCompare{ ShardKey(aShard), mHeld[aShard] }
  };
  mContext.mRuntime.Spawn([this, aShard, deletion] {
    if (mWriter.Write(aShard, deletion).ok()) {
      mDeleted.Increment();
    }
  });
}

void JobDriver::OnShardLost(ShardId aShard)
{
  mHeld.erase(aShard);
  mEnded.ForgetShard(aShard);
  Handle(ShardLost{ aShard });
}

bool JobDriver::OnJobChanged(const JobChanged& aChange)
{
  if (!mScheduler.Owns(aChange.mShard)) {
    return false;
  }
  Run(ReadJob{ aChange.mShard, aChange.mJob });
  return true;
}

void JobDriver::OnEarlierLeasesExpired(ShardId aShard)
{
  Handle(ShardCleared{ aShard });
}

TaskReplies JobDriver::OnHeartbeat(const Heartbeat& aHeartbeat)
{
  mLeaseExtension.reset();
  Handle(HeartbeatReceived{ aHeartbeat });
  TaskReplies replies;
  if (const auto pending = mPending.find(aHeartbeat.mAgent);
      pending != mPending.end()) {
    replies = std::move(pending->second);
    mPending.erase(pending);
  }
  const auto extension = std::exchange(mLeaseExtension, std::nullopt);
  if (!extension) {
    return replies;
  }
  // Until the agent lists an assigned task, the task's lease counts from the
  // heartbeat that the assignment names. Shards without a listed task therefore
  // need no lease in the reply.
  absl::flat_hash_set<ShardId> listed;
  for (const TaskReport& task : aHeartbeat.mTasks) {
    listed.insert(task.mShard);
  }
  Duration longest{};
  for (const ShardLease& lease : extension->mLeases) {
    if (listed.contains(lease.mShard) && mMayExtend(lease.mShard)) {
      replies.mLeases.push_back(lease);
      longest = std::max(longest, lease.mTtl);
    }
  }
  Handle(HeartbeatReplySent{ extension->mAgent,
                             extension->mIncarnation,
                             extension->mSequence,
                             MonotonicNow() + longest });
  return replies;
}

TaskReplies& JobDriver::PendingFor(const AgentId& aAgent)
{
  return mPending[aAgent];
}

void JobDriver::Run(const CommitRecord& aAction)
{
  mContext.mRuntime.Spawn([this, aAction] {
    const auto written = mWriter.Write(aAction.mShard, ToRecordWrite(aAction));
    Handle(ToCommitDone(aAction.mToken, written));
  });
}

void JobDriver::Run(const SendAssign& aAction)
{
  // After a pause of the process, the right to extend leases may have lapsed
  // since the assignment was decided, and another owner may have assigned the
  // job.
  if (!mMayExtend(aAction.mAssign.mShard)) {
    mContext.mRuntime.Spawn([this, key = aAction.mAssign.mTask.mKey] {
      Handle(AssignDone{ key,
                         WithVerdict(absl::FailedPreconditionError(
                                       "shard ownership is not proven"),
                                     Verdict::NotRun) });
    });
    return;
  }
  mContext.mRuntime.Spawn([this, aAction] {
    AssignDone done{ aAction.mAssign.mTask.mKey, AssignReply{} };
    done.mReply = net::CallTyped<AssignReply>(mContext.mRpc,
                                              aAction.mEndpoint,
                                              "agent.assign",
                                              aAction.mAssign,
                                              kAgentTimeout);
    Handle(done);
  });
}

void JobDriver::Run(const SendControl& aAction)
{
  mContext.mRuntime.Spawn([this, aAction] {
    ControlDone done{ aAction.mControl.mKey, ControlReply{} };
    done.mReply = net::CallTyped<ControlReply>(mContext.mRpc,
                                               aAction.mEndpoint,
                                               "agent.control",
                                               aAction.mControl,
                                               kAgentTimeout);
    Handle(done);
  });
}

void JobDriver::Run(const AcknowledgeTasks& aAction)
{
  auto& keys = PendingFor(aAction.mAgent).mAcknowledged;
  keys.insert(keys.end(), aAction.mKeys.begin(), aAction.mKeys.end());
}

void JobDriver::Run(const DisownTasks& aAction)
{
  auto& keys = PendingFor(aAction.mAgent).mUnknown;
  keys.insert(keys.end(), aAction.mKeys.begin(), aAction.mKeys.end());
}

void JobDriver::Run(const ExtendLeases& aAction)
{
  mLeaseExtension = aAction;
}

void JobDriver::Run(const ReadJob& aAction)
{
  mContext.mRuntime.Spawn([this, aAction] {
    const auto entry =
      mContext.mStore.Read(JobKey(aAction.mShard, aAction.mJob));
    if (absl::IsNotFound(entry.status())) {
      Handle(JobMissing{ aAction.mShard, aAction.mJob });
      return;
    }
    if (auto job = entry.ok() ? ParseStoredJob(*entry) : std::nullopt) {
      Handle(JobRead{ aAction.mShard, *std::move(job) });
      return;
    }
    Handle(JobReadFailed{ aAction.mShard, aAction.mJob });
  });
}

} // namespace foxtailbarrow::entry
