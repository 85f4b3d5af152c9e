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
  /// Maximum lease of a task at the worker.
  Duration mTaskLease = std::chrono::seconds(20);
  /// A task is checkpointed this long before its shard's lease expires, but in
  /// the last quarter of the lease at the earliest.
  Duration mCheckpointAhead = std::chrono::seconds(5);
  Duration mRetryPause = std::chrono::milliseconds(500); ///< Of worker calls.
  /// Failed starts or checkpoints before the task is stopped.
  std::int32_t mMaxTries = 4;
  std::size_t mMaxTasks = 512;
  std::size_t mMaxRefused = 4'096;
  /// Final states that are kept to answer Control() after acknowledgement.
  std::size_t mMaxAcknowledgedEnds = 256;
  Duration mRefusedRetention = std::chrono::minutes(2);
};

/// The agent's state of a task, for reports and the state dump.
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
  Reason mReason = Reason::None; ///< Why the desired state is not Run.
  double mFraction = 1.0;        ///< Desired fraction of its processors.
  double mAppliedFraction = 1.0; ///< Fraction that the worker confirmed.
  bool mStartTried = false;
  bool mStarted = false; ///< The worker has confirmed the start.
  /// The worker accepted the stop; its view will show the final state.
  bool mStopAccepted = false;
  bool mBusy = false; ///< A call about the task is in flight.
  bool mAcknowledged = false;
  std::int32_t mStartTries = 0; ///< Failed ones only.
  std::int32_t mCheckpointTries = 0;
  Instant mNotBefore{}; ///< Earliest time of the next call.
  /// A view requested earlier does not show that the task is missing.
  Instant mStableSince{};

  bool Ended() const { return mStatus.mState != TaskState::Running; }
};

/// Manages the assignments on one agent: which to grant, start, renew,
/// checkpoint and stop, and what to report.
///
/// Input: messages of the shards' owners, the worker's views and the results of
/// worker calls. Output: replies, and the calls to make (Due(), Renewals()).
///
/// Guarantees:
/// - An assignment runs only under a lease granted by its shard's owner. The
///   lease is checked before every call, so after a pause the agent does not
///   start or renew a task whose lease has expired in the meantime.
/// - A refused key is refused again, because NotRun is binding. The same holds
///   for a task that was stopped before its assignment arrived.
/// - A lower generation of the shard or a lower epoch of the job is refused.
/// - A task's reservation lasts until the worker has confirmed its end.
/// - An ended task is reported in every heartbeat until it is acknowledged; its
///   state and checkpoint do not change once reported.
///
/// Tolerates lost replies of the worker (a start is repeated under its key, and
/// the next view shows the outcome of other calls) and restarts of this agent
/// (Observe() adopts running tasks), of the owner and of the worker.
/// Not thread-safe.
class TaskTable
{
public:
  using ShardOf = std::function<ShardId(const JobId&)>;

  /// `aShardOf` returns the shard of a task found on the worker after a
  /// restart.
  TaskTable(TaskTableLimits aLimits,
            Incarnation aIncarnation,
            CapacityLedger& aLedger,
            ShardOf aShardOf);

  // Messages of owners.

  /// Grants an assignment by reserving its resources; Due() starts it. An
  /// assignment that was granted before is granted again.
  AssignReply Assign(const Assign& aAssign, Instant aNow);

  /// Returns FailedPrecondition with NotRun for a stale generation, otherwise
  /// the current status; Due() returns the resulting call.
  absl::StatusOr<TaskStatus> Control(const Control& aControl, Instant aNow);

  /// Records that a heartbeat is being sent.
  void HeartbeatSent(std::uint64_t aSequence, Instant aNow);

  /// Applies the parts of the reply to heartbeat `aSequence` that concern
  /// tasks.
  void ApplyReply(std::uint64_t aSequence,
                  const HeartbeatReply& aReply,
                  Instant aNow);

  // Decisions of this agent.

  void Evict(const TaskKey& aKey, Reason aReason);
  void Throttle(const TaskKey& aKey, double aFraction);

  /// Checkpoints all tasks and refuses new ones.
  void Drain();

  // Calls to the worker.

  /// Applies a view of the worker that was requested at `aRequestedAt` or
  /// later.
  void Observe(const WorkerView& aView, Instant aRequestedAt, Instant aNow);

  /// Calls that are due now; each is in flight until its "Done" event.
  std::vector<WorkerCall> Due(Instant aNow);

  /// Leases to renew now, grouped by similar remaining time.
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
  /// Status of a task in the table or of a recently acknowledged one.
  std::optional<TaskStatus> StatusOf(const TaskKey& aKey) const;

  const absl::btree_map<TaskKey, AgentTask>& Tasks() const { return mTasks; }
  const ShardLeases& Leases() const { return mLeases; }

  /// Number of ended tasks that are still in the table.
  std::size_t EndedTasks() const;

  /// True when no task runs and every end was acknowledged.
  bool Empty() const { return mTasks.empty(); }

private:
  AssignReply Refuse(const foxtailbarrow::Assign& aAssign,
                     Reason aReason,
                     Instant aNow);
  Reason CheckFences(const foxtailbarrow::Assign& aAssign) const;
  Reason CheckLease(const foxtailbarrow::Assign& aAssign, Instant aNow);
  Reason CheckCapacity(const foxtailbarrow::Assign& aAssign);
  void RaiseDesiredState(AgentTask& aTask,
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
