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

/// Events handled by a JobScheduler. They may be lost, repeated or delayed
/// without breaking the scheduler's guarantees.
namespace foxtailbarrow {

/// Identifies one commit requested by the scheduler. Never reused.
using CommitToken = std::uint64_t;

/// This process now owns the shard; `mJobs` was listed afterwards.
struct ShardAcquired
{
  ShardId mShard = 0;
  Generation mGeneration = 0;
  std::vector<StoredJob> mJobs;
  /// False while an earlier owner may still extend task leases (until
  /// ShardCleared); true if none can after this event.
  bool mCleared = true;
};

/// All task leases granted by earlier owners of the shard have ended.
struct ShardCleared
{
  ShardId mShard = 0;
};

/// Ownership ended or can no longer be proved.
struct ShardLost
{
  ShardId mShard = 0;
};

/// A record was read, after a hint or as the answer to ReadJob. Ignored if this
/// process does not own the shard.
struct JobRead
{
  ShardId mShard = 0;
  StoredJob mJob;
};

/// Answer to ReadJob: the record does not exist.
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

/// The customer requested cancellation. Durable once the scheduler committed
/// it.
struct CancelRequested
{
  JobId mJob;
};

struct HeartbeatReceived
{
  Heartbeat mHeartbeat;
};

/// A reply with the leases of ExtendLeases is about to be sent, and ownership
/// of the shards was proved after the heartbeat arrived. Must be reported
/// BEFORE sending, so that the bound for expiry covers the extension.
/// Assignments rely on the last heartbeat replied to, so none is sent to an
/// agent before this.
struct HeartbeatReplySent
{
  AgentId mAgent;
  Incarnation mIncarnation = 0;
  std::uint64_t mSequence = 0;
  Instant mUntil; ///< Upper bound of the leases, by this process's clock.
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

/// Usage measured by an agent for the listed tasks.
struct UsageReceived
{
  std::vector<UsageSample> mSamples;
};

/// Advances time. Must be sent at least every 100 ms and after each batch of
/// events.
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
