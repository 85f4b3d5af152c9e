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
/// Each has a request and a reply type. Codec: src/core/message/.
namespace foxtailbarrow {

/// Number of a shard of the job space; a job's shard never changes.
using ShardId = std::uint32_t;

/// Ownership generation of a shard: the store's mod revision of the key by
/// which an entry took the shard. A later owner has a greater generation.
using Generation = std::int64_t;

/// Start number of a process: a later start of the same id has a greater one.
/// Source: wall clock in microseconds at start-up.
using Incarnation = std::uint64_t;

enum class ServingState : std::uint8_t
{
  Starting, ///< Rebuilds its ledger; takes nothing yet.
  Serving,
  Draining, ///< Finishes what it has; takes nothing new.
};

std::string_view ToString(ServingState aState);
std::optional<ServingState> ParseServingState(std::string_view aText);

/// What a backend server and its agent can take, as of the sending.
struct LoadReport
{
  std::int32_t mSlots = 0; ///< Requests that run at a time.
  std::int32_t mSlotsInUse = 0;
  std::int32_t mWaiting = 0; ///< Admitted, not yet in a slot.
  Resources mCapacity;       ///< Of the worker.
  Resources mReserved;       ///< By the ledger, services and tasks.

  bool operator==(const LoadReport&) const = default;
};

/// How a task stands, sent to the owner of its shard.
struct TaskReport
{
  ShardId mShard = 0;
  TaskStatus mStatus;

  bool operator==(const TaskReport&) const = default;
};

/// `agent.heartbeat`, agent to entry. Announces the agent, reports its load and
/// tasks, asks for lease extensions and newer configuration.
struct Heartbeat
{
  AgentId mAgent;
  Incarnation mIncarnation = 0;
  std::uint64_t mSequence = 0; ///< Orders heartbeats of one incarnation.
  Endpoint mEndpoint;          ///< Where the agent serves HTTP and JSON-RPC.
  ServiceId mService;
  RackId mRack;
  FailureDomainId mFailureDomain;
  ServingState mState = ServingState::Starting;
  LoadReport mLoad;
  std::vector<TaskReport> mTasks;
  std::vector<UsageSample> mUsage; ///< Measured since the last heartbeat.
  Revision mConfiguration = 0;     ///< Newest applied.

  bool operator==(const Heartbeat&) const = default;
};

/// Extends every assignment of the shard on the receiving agent by `mTtl` from
/// the time at which the agent SENT the heartbeat that this answers.
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
  Revision mConfiguration = 0; ///< Newest change that the entry applied.
  /// mContracts and mRemoved are what changed after mConfigurationFrom, the
  /// revision that the heartbeat stated, up to mConfigurationThrough. Where
  /// that is below mConfiguration, the rest follows with the next reply.
  Revision mConfigurationFrom = 0;
  Revision mConfigurationThrough = 0;
  /// Revision of the store up to which the entry knows every change.
  Revision mConfigurationAsOf = 0;
  /// Over all contracts that concern the agent, as of mConfigurationAsOf.
  std::uint64_t mConfigurationDigest = 0;
  std::vector<Contract> mContracts;
  std::vector<CustomerId> mRemoved;
  std::vector<Endpoint> mEntries;     ///< Entries now live.
  std::vector<ShardLease> mLeases;    ///< Shards that this entry owns.
  std::vector<TaskKey> mAcknowledged; ///< Ended tasks recorded durably.
  std::vector<TaskKey> mUnknown;      ///< Tasks that the owner disowns: stop.

  bool operator==(const HeartbeatReply&) const = default;
};

/// `agent.assign`, owner entry to agent. The agent grants or refuses; its
/// ledger is the single authority on its worker's capacity.
struct Assign
{
  ShardId mShard = 0;
  Generation mGeneration = 0;
  TaskStart mTask;
  bool mUrgent = false;
  /// Incarnation and sequence of the agent's heartbeat that the owner answered
  /// last. The agent refuses an assignment that counts on a heartbeat of an
  /// earlier incarnation, or whose lease has lapsed since: it was delayed, and
  /// the job may have been given to another agent. Sequence 0 = not stated.
  Incarnation mIncarnation = 0;
  std::uint64_t mSequence = 0;
  /// Of the worker's processors that the customer may use, 0..1, by its
  /// contract as the owner knows it. Counts where the agent holds no contract
  /// of the customer.
  double mSharePerWorker = 1.0;

  bool operator==(const Assign&) const = default;
};

struct AssignReply
{
  bool mGranted = false;
  Reason mReason = Reason::None;      ///< Set when refused.
  Verdict mVerdict = Verdict::NotRun; ///< NotRun is binding for this key.
  Resources mFree;                    ///< After this decision.

  bool operator==(const AssignReply&) const = default;
};

/// What the owner asks of a running task.
enum class TaskAction : std::uint8_t
{
  Stop,
  Evict,    ///< Checkpoint, then stop.
  Throttle, ///< Limit to `mFraction` of its processors.
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
  TaskStatus mStatus; ///< As after the action.

  bool operator==(const ControlReply&) const = default;
};

/// `agent.revoke`, entry to agent, after a connection broke: asks whether the
/// request ran. Where the agent never admitted it, it answers NotRun and
/// refuses the id from then on, which makes a retry elsewhere safe.
struct Revoke
{
  RequestId mRequest;
  /// Since the entry sent the request to this agent. The agent answers NotRun
  /// only for a request younger than its memory; unknown = the maximum.
  Duration mAge = Duration::max();

  /// When the key is set, the question is about this customer's idempotency
  /// key instead of mRequest: whether an attempt under it runs, ran or may have
  /// run on this agent. Answered NotRun, no attempt under the key runs on this
  /// agent from then on, for as long as the agent remembers keys.
  CustomerId mCustomer{};
  std::string mIdempotencyKey{};

  bool operator==(const Revoke&) const = default;
};

struct RevokeReply
{
  Verdict mVerdict = Verdict::MayHaveRun;
  bool mPromisedBefore = false; ///< NotRun, as an earlier answer said already.

  bool operator==(const RevokeReply&) const = default;
};

/// `entry.jobChanged`, entry to the entry that owns the shard: a hint to read
/// the record now. Losing it costs time, never work.
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
