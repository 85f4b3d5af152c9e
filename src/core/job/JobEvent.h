#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "absl/status/statusor.h"

#include "foxtailbarrow/Contract.h"
#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Messages.h"
#include "foxtailbarrow/Time.h"
#include "src/core/job/StoredJob.h"

/// What a JobScheduler is told. Events may be lost, repeated and delayed; the
/// scheduler's promises hold all the same.
namespace foxtailbarrow {

/// Names one commit that the scheduler asked for. Never used twice.
using CommitToken = std::uint64_t;

/// This process now owns the shard; `mJobs` was listed after that.
struct ShardAcquired
{
  ShardId mShard = 0;
  Generation mGeneration = 0;
  std::vector<StoredJob> mJobs;
  /// False when an earlier owner may still be extending task leases, which
  /// ShardCleared ends; true when none did so after this event.
  bool mCleared = true;
};

/// No task lease that an earlier owner of the shard granted is left.
struct ShardCleared
{
  ShardId mShard = 0;
};

/// Ownership ended or can no longer be proved.
struct ShardLost
{
  ShardId mShard = 0;
};

/// A record was read: after a hint, or as the answer to ReadJob. Ignored when
/// this process does not own the shard.
struct JobRead
{
  ShardId mShard = 0;
  StoredJob mJob;
};

/// Answer to ReadJob: the store holds no such record.
struct JobMissing
{
  ShardId mShard = 0;
  JobId mJob;
};

/// Answer to ReadJob: the store did not answer.
struct JobReadFailed
{
  ShardId mShard = 0;
  JobId mJob;
};

/// The customer wants the job stopped. Durable once the scheduler committed.
struct CancelRequested
{
  JobId mJob;
};

struct HeartbeatReceived
{
  Heartbeat mHeartbeat;
};

/// A reply with the leases of ExtendLeases is about to leave, and ownership of
/// the shards was proved after the heartbeat came. Given BEFORE the sending:
/// only then can the job be counted as lapsed in time. Assignments count on
/// the heartbeat answered last, so none is sent to an agent before this.
struct HeartbeatReplySent
{
  AgentId mAgent;
  Incarnation mIncarnation = 0;
  std::uint64_t mSequence = 0;
  Instant mUntil; ///< No extended lease lasts longer, by this process's clock.
};

enum class CommitOutcome : std::uint8_t
{
  Applied,
  Conflict, ///< A compare failed; nothing was written.
  NotRun,   ///< The store certainly did not apply it.
  Unknown,  ///< The reply was lost.
};

/// Answer to CommitRecord.
struct CommitDone
{
  CommitToken mToken = 0;
  CommitOutcome mOutcome = CommitOutcome::Unknown;
  Revision mRevision = 0; ///< New revision of the record when Applied.
};

/// Answer to SendAssign. An error carries a Verdict.
struct AssignDone
{
  TaskKey mKey;
  absl::StatusOr<AssignReply> mReply = AssignReply{};
};

/// Answer to SendControl. An error carries a Verdict.
struct ControlDone
{
  TaskKey mKey;
  absl::StatusOr<ControlReply> mReply = ControlReply{};
};

/// Contracts written or removed since the last such event.
struct ContractsChanged
{
  std::vector<Contract> mChanged;
  std::vector<CustomerId> mRemoved;
};

/// Usage measured by an agent, in force for the tasks that it names.
struct UsageReceived
{
  std::vector<UsageSample> mSamples;
};

/// Time passes. Due at least every 100 ms, and after each batch of events.
struct Tick
{};

using JobEvent = std::variant<ShardAcquired,
                              ShardCleared,
                              ShardLost,
                              JobRead,
                              JobMissing,
                              JobReadFailed,
                              CancelRequested,
                              HeartbeatReceived,
                              HeartbeatReplySent,
                              CommitDone,
                              AssignDone,
                              ControlDone,
                              ContractsChanged,
                              UsageReceived,
                              Tick>;

} // namespace foxtailbarrow
