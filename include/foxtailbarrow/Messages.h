#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "foxtailbarrow/Contract.h"
#include "foxtailbarrow/Endpoint.h"
#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Job.h"
#include "foxtailbarrow/Reason.h"
#include "foxtailbarrow/Resources.h"
#include "foxtailbarrow/Time.h"
#include "foxtailbarrow/Verdict.h"
#include "foxtailbarrow/Worker.h"

/// Control messages between the system's processes, carried by JSON-RPC 2.0.
/// Each method has a request and a reply type. Codec: src/core/message/.
namespace foxtailbarrow {

/// Index of a shard of the job space; a job's shard never changes.
using ShardId = std::uint32_t;

/// Ownership generation of a shard: the mod revision of the store key with
/// which an entry acquired the shard. A later owner has a greater generation.
using Generation = std::int64_t;

/// Identifies one start of a process; greater for later starts of the same id.
/// Wall clock in microseconds at start-up.
using Incarnation = std::uint64_t;

enum class ServingState : std::uint8_t
{
  Starting, ///< Rebuilds its ledger; accepts nothing yet.
  Serving,
  Draining, ///< Completes accepted work; accepts nothing new.
};

std::string_view ToString(ServingState aState);
std::optional<ServingState> ParseServingState(std::string_view aText);

/// Load and capacity of a backend server and its agent when sent.
struct LoadReport
{
  std::int32_t mSlots = 0; ///< Requests that can run concurrently.
  std::int32_t mSlotsInUse = 0;
  std::int32_t mWaiting = 0; ///< Admitted, not yet in a slot.
  Resources mCapacity;       ///< Of the worker.
  Resources mReserved; ///< According to the ledger, for services and tasks.

  bool operator==(const LoadReport&) const = default;
};

/// State of a task, sent to the owner of its shard.
struct TaskReport
{
  ShardId mShard = 0;
  TaskStatus mStatus;

  bool operator==(const TaskReport&) const = default;
};

/// `agent.heartbeat`, agent to entry. Registers the agent, reports its load and
/// tasks, requests lease extensions and newer configuration.
struct Heartbeat
{
  AgentId mAgent;
  Incarnation mIncarnation = 0;
  std::uint64_t mSequence = 0; ///< Orders heartbeats of one incarnation.
  Endpoint mEndpoint;          ///< For HTTP and JSON-RPC.
  ServiceId mService;
  RackId mRack;
  FailureDomainId mFailureDomain;
  ServingState mState = ServingState::Starting;
  LoadReport mLoad;
  std::vector<TaskReport> mTasks;
  std::vector<UsageSample> mUsage; ///< Measured since the last heartbeat.
  Revision mConfiguration = 0;     ///< Newest revision applied.

  bool operator==(const Heartbeat&) const = default;
};

/// Extends the lease of every task of the shard on the receiving agent to
/// `mTtl` after the agent SENT the heartbeat that this replies to.
struct ShardLease
{
  ShardId mShard = 0;
  Generation mGeneration = 0;
  Duration mTtl{};

  bool operator==(const ShardLease&) const = default;
};

struct HeartbeatReply
{
  EntryId mEntry;
  Revision mConfiguration = 0; ///< Newest change applied by the entry.
  /// mContracts and mRemoved hold the changes after mConfigurationFrom (the
  /// revision in the heartbeat) up to mConfigurationThrough. If that is below
  /// mConfiguration, the rest follows with the next reply.
  Revision mConfigurationFrom = 0;
  Revision mConfigurationThrough = 0;
  /// Store revision up to which the entry has received every change.
  Revision mConfigurationAsOf = 0;
  /// Over all contracts relevant to the agent, as of mConfigurationAsOf.
  std::uint64_t mConfigurationDigest = 0;
  std::vector<Contract> mContracts;
  std::vector<CustomerId> mRemoved;
  std::vector<Endpoint> mEntries;     ///< Live entries.
  std::vector<ShardLease> mLeases;    ///< Shards that this entry owns.
  std::vector<TaskKey> mAcknowledged; ///< Ended tasks that were saved durably.
  std::vector<TaskKey> mUnknown; ///< Tasks that the owner disowns: stop them.

  bool operator==(const HeartbeatReply&) const = default;
};

/// `agent.assign`, owner entry to agent. The agent grants or refuses; its
/// ledger is authoritative for its worker's capacity.
struct Assign
{
  ShardId mShard = 0;
  Generation mGeneration = 0;
  TaskStart mTask;
  bool mUrgent = false;
  /// Incarnation and sequence of the last heartbeat of the agent that the owner
  /// replied to. The agent refuses the assignment if that heartbeat is of an
  /// earlier incarnation or its lease has expired: the message was delayed, and
  /// the job may have been assigned to another agent. Sequence 0 = not given.
  Incarnation mIncarnation = 0;
  std::uint64_t mSequence = 0;
  /// Fraction (0..1) of the worker's processors that the customer may use,
  /// according to the owner's copy of its contract. Used only if the agent has
  /// no contract of the customer.
  double mSharePerWorker = 1.0;

  bool operator==(const Assign&) const = default;
};

struct AssignReply
{
  bool mGranted = false;
  Reason mReason = Reason::None;      ///< Set when refused.
  Verdict mVerdict = Verdict::NotRun; ///< NotRun is final for this key.
  Resources mFree;                    ///< After this decision.

  bool operator==(const AssignReply&) const = default;
};

/// What the owner asks of a running task.
enum class TaskAction : std::uint8_t
{
  Stop,
  Evict,    ///< Checkpoint, then stop.
  Throttle, ///< Limit it to `mFraction` of its processors.
};

std::string_view ToString(TaskAction aAction);
std::optional<TaskAction> ParseTaskAction(std::string_view aText);

/// `agent.control`, owner entry to agent.
struct Control
{
  ShardId mShard = 0;
  Generation mGeneration = 0;
  TaskKey mKey;
  TaskAction mAction = TaskAction::Stop;
  double mFraction = 1.0;
  Reason mReason = Reason::None;

  bool operator==(const Control&) const = default;
};

struct ControlReply
{
  TaskStatus mStatus; ///< After the action.

  bool operator==(const ControlReply&) const = default;
};

/// `agent.revoke`, entry to agent, after a connection broke: asks whether the
/// request ran. If the agent never admitted it, the agent replies NotRun and
/// refuses the id from then on, which makes a retry elsewhere safe.
struct Revoke
{
  RequestId mRequest;
  /// Time since the entry sent the request to this agent. The agent replies
  /// NotRun only if it remembers requests for that long; maximum = unknown.
  Duration mAge = Duration::max();

  /// If the key is set, the query is about this customer's idempotency key
  /// instead of mRequest: whether an attempt with it runs, ran or may have run
  /// on this agent. After a reply of NotRun, no attempt with the key runs on
  /// this agent for as long as the agent remembers keys.
  CustomerId mCustomer{};
  std::string mIdempotencyKey{};

  bool operator==(const Revoke&) const = default;
};

struct RevokeReply
{
  Verdict mVerdict = Verdict::MayHaveRun;
  bool mPromisedBefore = false; ///< An earlier reply already was NotRun.

  bool operator==(const RevokeReply&) const = default;
};

/// `entry.jobChanged`, entry to the entry that owns the shard: a hint to read
/// the record now. Losing it delays the job but loses no work.
struct JobChanged
{
  ShardId mShard = 0;
  JobId mJob;

  bool operator==(const JobChanged&) const = default;
};

struct JobChangedReply
{
  bool operator==(const JobChangedReply&) const = default;
};

} // namespace foxtailbarrow
