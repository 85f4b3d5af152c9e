#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "foxtailbarrow/Endpoint.h"
#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Messages.h"
#include "src/core/job/JobEvent.h"

/// What a JobScheduler asks of its process. Losing an action costs time, never
/// work, but CommitRecord, SendAssign and SendControl must each be answered.
namespace foxtailbarrow {

/// Write the record where its key still has `mExpected` as mod revision AND
/// the shard's key still has `mGeneration`. Answer: CommitDone. Commits of one
/// batch may share a transaction only while a failed compare of one is told
/// apart from the others.
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

/// These tasks' ends are recorded: name them in the next heartbeat reply.
struct AcknowledgeTasks
{
  AgentId mAgent;
  std::vector<TaskKey> mKeys;
};

/// The owner disowns these tasks: name them in the next heartbeat reply.
struct DisownTasks
{
  AgentId mAgent;
  std::vector<TaskKey> mKeys;
};

/// The reply to this heartbeat may carry these leases; a reply to any other
/// must carry none (it is older than one already seen). The shell leaves out
/// shards whose ownership it cannot prove at the time of sending.
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
