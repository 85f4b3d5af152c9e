#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "foxtailbarrow/Endpoint.h"
#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Messages.h"
#include "src/core/job/JobEvent.h"

/// Actions that a JobScheduler requests of its process. Losing an action delays
/// work but loses none; CommitRecord, SendAssign and SendControl must each be
/// answered.
namespace foxtailbarrow {

/// Write the record if the mod revision of its key is still `mExpected` AND
/// that of the shard's key is still `mGeneration`. Answer: CommitDone. Commits
/// may share a transaction only if a failed compare can be attributed to one.
struct CommitRecord
{
  CommitToken mToken = 0;
  ShardId mShard = 0;
  Generation mGeneration = 0;
  JobRecord mRecord;
  Revision mExpected = 0;
};

/// Answer: AssignDone.
struct SendAssign
{
  AgentId mAgent;
  Endpoint mEndpoint;
  Assign mAssign;
};

/// Answer: ControlDone.
struct SendControl
{
  AgentId mAgent;
  Endpoint mEndpoint;
  Control mControl;
};

/// The ends of these tasks are saved: list them in the next heartbeat reply.
struct AcknowledgeTasks
{
  AgentId mAgent;
  std::vector<TaskKey> mKeys;
};

/// The owner disowns these tasks: list them in the next heartbeat reply.
struct DisownTasks
{
  AgentId mAgent;
  std::vector<TaskKey> mKeys;
};

/// The reply to this heartbeat may carry these leases; a reply to any other
/// must carry none, since that heartbeat is older than one already processed.
/// The process omits shards whose ownership it cannot prove when sending.
struct ExtendLeases
{
  AgentId mAgent;
  Incarnation mIncarnation = 0;
  std::uint64_t mSequence = 0;
  std::vector<ShardLease> mLeases;
};

/// Answer: JobRead, JobMissing or JobReadFailed.
struct ReadJob
{
  ShardId mShard = 0;
  JobId mJob;
};

using JobAction = std::variant<CommitRecord,
                               SendAssign,
                               SendControl,
                               AcknowledgeTasks,
                               DisownTasks,
                               ExtendLeases,
                               ReadJob>;

} // namespace foxtailbarrow
