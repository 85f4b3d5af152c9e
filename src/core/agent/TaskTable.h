#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "foxtailbarrow/Messages.h"
#include "foxtailbarrow/Time.h"
#include "foxtailbarrow/Worker.h"
#include "src/core/agent/CapacityLedger.h"
#include "src/core/agent/RefusedAssignments.h"
#include "src/core/agent/ShardLeases.h"
#include "src/core/agent/WorkerCall.h"

namespace foxtailbarrow {

struct TaskTableLimits
{
  Duration mTaskLease = std::chrono::seconds(20); ///< At the worker, at most.
  /// A task is checkpointed this long before its shard's lease lapses, but in
  /// the last quarter of the lease at the earliest.
  Duration mCheckpointAhead = std::chrono::seconds(5);
  Duration mRetryPause = std::chrono::milliseconds(500); ///< Of worker calls.
  /// Of a start or a checkpoint; then the task is stopped.
  std::int32_t mMaxTries = 4;
  std::size_t mMaxTasks = 512;
  std::size_t mMaxRefused = 4'096;
  std::size_t mMaxAcknowledgedEnds =
    256; ///< Final states kept to answer Control.
  Duration mRefusedRetention = std::chrono::minutes(2);
};

/// A task as the agent knows it, for reports and the state dump.
struct AgentTask
{
  enum class DesiredState : std::uint8_t
  {
    Run,
    Checkpoint,
    Stop,
  };

  TaskStart mStart;
  ShardId mShard = 0;
  TaskStatus mStatus;
  DesiredState mDesiredState = DesiredState::Run;
  Reason mReason = Reason::None; ///< Why it is not wished to run.
  double mFraction = 1.0;        ///< Of its processors, as wished.
  double mAppliedFraction = 1.0;
  bool mStartTried = false;
  bool mStarted = false;      ///< The worker has confirmed it.
  bool mStopAccepted = false; ///< The worker took the stop; its view says how.
  bool mBusy = false;         ///< A call about it is under way.
  bool mAcknowledged = false;
  std::int32_t mStartTries = 0; ///< That failed.
  std::int32_t mCheckpointTries = 0;
  Instant mNotBefore{};   ///< Of the next call.
  Instant mStableSince{}; ///< Views asked for earlier say nothing about it.

  bool Ended() const { return mStatus.mState != TaskState::Running; }
};

/// The assignments on one agent: which to grant, start, renew, checkpoint and
/// stop, and what to report.
///
/// Inputs: messages of the shards' owners, the worker's views and the results
/// of calls to it. Outputs: replies, and the calls to make (Due(), Renewals()).
///
/// Promises:
/// - An assignment runs only under a lease that its shard's owner gave. The
///   lease is checked before every act, so that an agent that wakes after a
///   freeze starts and renews nothing that lapsed meanwhile.
/// - A refused key is refused again: NotRun is binding. So is a stop that came
///   before its assignment.
/// - A lower generation of the shard or a lower epoch of the job is refused.
/// - A task's reservation lasts until the worker has confirmed its end.
/// - An ended task is reported in every heartbeat until it is acknowledged; its
///   state and checkpoint never change once reported.
///
/// Survives: lost replies of the worker (a start is repeated under its key, and
/// the next view settles the rest), a restart of this agent (Observe() adopts
/// what runs), of the owner and of the worker.
/// Not safe for use by several threads.
class TaskTable
{
public:
  using ShardOf = std::function<ShardId(const JobId&)>;

  /// `aShardOf` tells the shard of a task found on the worker after a restart.
  TaskTable(TaskTableLimits aLimits,
            Incarnation aIncarnation,
            CapacityLedger& aLedger,
            ShardOf aShardOf);

  // Messages of owners.

  /// Grants: reserves and leaves the start to Due(). An assignment granted
  /// before is granted again.
  AssignReply Assign(const Assign& aAssign, Instant aNow);

  /// Error FailedPrecondition, NotRun, for a stale generation. Else the status
  /// so far; Due() holds the call to make.
  absl::StatusOr<TaskStatus> Control(const Control& aControl, Instant aNow);

  /// Notes that a heartbeat is being sent.
  void HeartbeatSent(std::uint64_t aSequence, Instant aNow);

  /// Applies the parts of the reply to heartbeat `aSequence` that concern
  /// tasks.
  void ApplyReply(std::uint64_t aSequence,
                  const HeartbeatReply& aReply,
                  Instant aNow);

  // Own decisions.

  void Evict(const TaskKey& aKey, Reason aReason);
  void Throttle(const TaskKey& aKey, double aFraction);

  /// Checkpoints every task and refuses new ones.
  void Drain();

  // The worker.

  /// `aAskedAt`: before the view was asked for.
  void Observe(const WorkerView& aView, Instant aAskedAt, Instant aNow);

  /// Calls that are due now; each is under way until its "Done".
  std::vector<WorkerCall> Due(Instant aNow);

  /// Leases to renew now, in few groups of similar time left.
  std::vector<CallRenew> Renewals(Instant aNow) const;

  void StartDone(const TaskKey& aKey,
                 const absl::Status& aResult,
                 Instant aNow);
  void StopDone(const TaskKey& aKey, const absl::Status& aResult, Instant aNow);
  void CheckpointDone(const TaskKey& aKey,
                      const absl::StatusOr<std::string>& aResult,
                      Instant aNow);
  void ThrottleDone(const TaskKey& aKey,
                    double aFraction,
                    const absl::Status& aResult,
                    Instant aNow);
  void AcknowledgeDone(std::span<const TaskKey> aKeys,
                       const absl::Status& aResult,
                       Instant aNow);

  // Reports.

  std::vector<TaskReport> Reports() const;
  /// Of a task in the table, or of one acknowledged not long ago.
  std::optional<TaskStatus> StatusOf(const TaskKey& aKey) const;

  const absl::btree_map<TaskKey, AgentTask>& Tasks() const { return mTasks; }
  const ShardLeases& Leases() const { return mLeases; }

  /// Tasks whose end is not yet forgotten.
  std::size_t EndedTasks() const;

  /// True when nothing runs and every end was acknowledged.
  bool Empty() const { return mTasks.empty(); }

private:
  AssignReply Refuse(const foxtailbarrow::Assign& aAssign,
                     Reason aReason,
                     Instant aNow);
  Reason CheckFences(const foxtailbarrow::Assign& aAssign) const;
  Reason CheckLease(const foxtailbarrow::Assign& aAssign, Instant aNow);
  Reason CheckCapacity(const foxtailbarrow::Assign& aAssign);
  void DesiredState(AgentTask& aTask,
                    AgentTask::DesiredState aDesiredState,
                    Reason aReason);
  void End(AgentTask& aTask,
           TaskState aState,
           std::string aReason,
           std::string aCheckpoint = {});
  void OnCallDone(AgentTask& aTask, const absl::Status& aResult, Instant aNow);
  void EnforceLease(AgentTask& aTask, Instant aNow);
  void AddDue(AgentTask& aTask, Instant aNow, std::vector<WorkerCall>& aCalls);
  void EndMissingTask(AgentTask& aTask);
  void Adopt(const TaskStatus& aStatus, Instant aNow);
  void ObserveOne(AgentTask& aTask, const TaskStatus& aStatus);
  void Erase(const TaskKey& aKey, Instant aNow);
  AgentTask* Find(const TaskKey& aKey);

  const TaskTableLimits mLimits;
  const Incarnation mIncarnation;
  CapacityLedger& mLedger;
  const ShardOf mShardOf;
  ShardLeases mLeases;
  RefusedAssignments mRefused;
  absl::btree_map<TaskKey, AgentTask> mTasks;
  std::deque<TaskStatus> mAcknowledgedEnds; ///< Oldest first.
  std::uint64_t mSequence = 0;
  Instant mLastErasedAt{}; ///< When a task was last erased.
  bool mDraining = false;
};

} // namespace foxtailbarrow
