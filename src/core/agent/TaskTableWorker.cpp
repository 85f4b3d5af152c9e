#include <algorithm>
#include <map>
#include <utility>

#include "src/core/agent/TaskTable.h"

/// The part of TaskTable that makes the calls to the worker.
namespace foxtailbarrow {

namespace {

using Desired = AgentTask::DesiredState;

/// Remaining times are grouped in steps of this; a group is renewed in one
/// call.
constexpr Duration kRenewalStep = std::chrono::seconds(4);

constexpr char kLostByWorker[] = "lost-by-worker";
constexpr char kStartFailed[] = "start-failed";
constexpr char kCheckpointFailed[] = "checkpoint-failed";

std::string Text(Reason aReason)
{
  return std::string(ToString(aReason));
}

/// True for errors after which a retry of the same start cannot succeed.
bool IsFinalRefusal(const absl::Status& aResult)
{
  return VerdictOf(aResult) == Verdict::NotRun &&
         (absl::IsFailedPrecondition(aResult) ||
          absl::IsInvalidArgument(aResult));
}

} // namespace

void TaskTable::Observe(const WorkerView& aView,
                        Instant aRequestedAt,
                        Instant aNow)
{
  std::map<TaskKey, const TaskStatus*> seen;
  for (const TaskStatus& status : aView.mTasks) {
    seen[status.mKey] = &status;
    if (AgentTask* const task = Find(status.mKey)) {
      ObserveOne(*task, status);
    } else if (aRequestedAt >= mLastErasedAt) {
      Adopt(status, aNow);
    }
  }
  for (auto& [key, task] : mTasks) {
    const bool settled = !task.mBusy && aRequestedAt >= task.mStableSince;
    const bool isKnown = task.mStarted || task.mStopAccepted;
    if (isKnown && !task.Ended() && settled && !seen.contains(key)) {
      EndMissingTask(task);
    }
  }
  mLedger.Rebuild(aView);
}

void TaskTable::ObserveOne(AgentTask& aTask, const TaskStatus& aStatus)
{
  if (aTask.Ended()) {
    return;
  }
  aTask.mStartTried = true;
  aTask.mStarted = true;
  if (aStatus.mState != TaskState::Running) {
    const bool isRequested = aTask.mReason != Reason::None &&
                             (aStatus.mState == TaskState::Checkpointed ||
                              aStatus.mState == TaskState::Stopped);
    End(aTask,
        aStatus.mState,
        isRequested ? Text(aTask.mReason) : aStatus.mReason,
        aStatus.mCheckpoint);
  }
}

/// Ends a task that is missing at the worker.
void TaskTable::EndMissingTask(AgentTask& aTask)
{
  if (aTask.mStartTries >= mLimits.mMaxTries) {
    End(aTask, TaskState::Failed, kStartFailed);
  } else if (aTask.mReason != Reason::None) {
    End(aTask, TaskState::Stopped, Text(aTask.mReason));
  } else {
    End(aTask, TaskState::Stopped, kLostByWorker);
  }
}

void TaskTable::Adopt(const TaskStatus& aStatus, Instant aNow)
{
  AgentTask& task = mTasks[aStatus.mKey];
  task.mStart.mKey = aStatus.mKey;
  task.mStart.mCustomer = aStatus.mCustomer;
  task.mStart.mKind = aStatus.mKind;
  task.mStart.mResources = aStatus.mReserved;
  task.mShard = mShardOf(aStatus.mKey.mJob);
  task.mStatus = aStatus;
  task.mStartTried = true;
  task.mStarted = true;
  task.mStableSince = aNow;
  if (mDraining) {
    RaiseDesiredState(task, Desired::Checkpoint, Reason::EvictedForDrain);
  }
}

std::vector<WorkerCall> TaskTable::Due(Instant aNow)
{
  std::vector<WorkerCall> calls;
  CallAcknowledge acknowledge;
  for (auto& [key, task] : mTasks) {
    EnforceLease(task, aNow);
    if (task.mBusy || aNow < task.mNotBefore) {
      continue;
    }
    if (!task.Ended()) {
      AddDue(task, aNow, calls);
    } else if (task.mAcknowledged) {
      task.mBusy = true;
      acknowledge.mKeys.push_back(key);
    }
  }
  if (!acknowledge.mKeys.empty()) {
    calls.emplace_back(std::move(acknowledge));
  }
  return calls;
}

void TaskTable::EnforceLease(AgentTask& aTask, Instant aNow)
{
  const auto until = mLeases.Until(aTask.mShard);
  // A task found after a restart has no shard lease yet. It continues under the
  // worker's lease, which is not renewed.
  if (!until || aTask.Ended()) {
    return;
  }
  const Duration ahead =
    std::min(mLimits.mCheckpointAhead, mLeases.Ttl(aTask.mShard) / 4);
  if (*until <= aNow) {
    RaiseDesiredState(aTask, Desired::Stop, Reason::LeaseLapsed);
  } else if (*until - ahead <= aNow && aTask.mStarted) {
    RaiseDesiredState(aTask, Desired::Checkpoint, Reason::LeaseLapsed);
  }
}

void TaskTable::AddDue(AgentTask& aTask,
                       Instant aNow,
                       std::vector<WorkerCall>& aCalls)
{
  const TaskKey& key = aTask.mStatus.mKey;
  switch (aTask.mDesiredState) {
    case Desired::Run:
      if (!aTask.mStarted) {
        aTask.mStartTried = true;
        aTask.mStart.mLease =
          std::min(mLimits.mTaskLease, mLeases.Left(aTask.mShard, aNow));
        aCalls.emplace_back(CallStart{ aTask.mStart });
      } else if (aTask.mFraction != aTask.mAppliedFraction) {
        aCalls.emplace_back(CallThrottle{ key, aTask.mFraction });
      } else {
        return;
      }
      break;
    case Desired::Checkpoint:
      aCalls.emplace_back(CallCheckpoint{ key });
      break;
    case Desired::Stop:
      if (aTask.mStopAccepted) {
        return;
      }
      aCalls.emplace_back(CallStop{ key });
      break;
  }
  aTask.mBusy = true;
}

std::vector<CallRenew> TaskTable::Renewals(Instant aNow) const
{
  std::map<std::int64_t, CallRenew> groups;
  for (const auto& [key, task] : mTasks) {
    const Duration left =
      std::min(mLimits.mTaskLease, mLeases.Left(task.mShard, aNow));
    if (!task.mStarted || task.Ended() || task.mDesiredState == Desired::Stop ||
        left <= Duration{}) {
      continue;
    }
    CallRenew& group = groups[left / kRenewalStep];
    group.mLease = group.mKeys.empty() ? left : std::min(group.mLease, left);
    group.mKeys.push_back(key);
  }
  std::vector<CallRenew> renewals;
  renewals.reserve(groups.size());
  for (auto& [step, group] : groups) {
    renewals.push_back(std::move(group));
  }
  return renewals;
}

void TaskTable::OnCallDone(AgentTask& aTask,
                           const absl::Status& aResult,
                           Instant aNow)
{
  aTask.mBusy = false;
  aTask.mStableSince = aNow;
  if (!aResult.ok()) {
    aTask.mNotBefore = aNow + mLimits.mRetryPause;
  }
}

void TaskTable::StartDone(const TaskKey& aKey,
                          const absl::Status& aResult,
                          Instant aNow)
{
  AgentTask* const task = Find(aKey);
  if (task == nullptr) {
    return;
  }
  OnCallDone(*task, aResult, aNow);
  if (task->Ended()) {
    return;
  }
  if (aResult.ok()) {
    task->mStarted = true;
  } else if (IsFinalRefusal(aResult)) {
    End(*task, TaskState::Failed, std::string(aResult.message()));
  } else if (++task->mStartTries >= mLimits.mMaxTries) {
    RaiseDesiredState(*task, Desired::Stop, Reason::None);
  }
}

void TaskTable::StopDone(const TaskKey& aKey,
                         const absl::Status& aResult,
                         Instant aNow)
{
  AgentTask* const task = Find(aKey);
  if (task == nullptr) {
    return;
  }
  OnCallDone(*task, aResult, aNow);
  if (task->Ended()) {
    return;
  }
  if (absl::IsNotFound(aResult)) {
    EndMissingTask(*task);
  }
  // The task may have ended on its own just before the stop; the next view
  // shows its final state.
  task->mStopAccepted = aResult.ok();
}

void TaskTable::CheckpointDone(const TaskKey& aKey,
                               const absl::StatusOr<std::string>& aResult,
                               Instant aNow)
{
  AgentTask* const task = Find(aKey);
  if (task == nullptr) {
    return;
  }
  OnCallDone(*task, aResult.status(), aNow);
  if (task->Ended()) {
    return;
  }
  if (aResult.ok()) {
    End(*task, TaskState::Checkpointed, Text(task->mReason), *aResult);
  } else if (absl::IsNotFound(aResult.status())) {
    End(*task, TaskState::Stopped, kCheckpointFailed);
  } else if (++task->mCheckpointTries >= mLimits.mMaxTries) {
    RaiseDesiredState(*task, Desired::Stop, task->mReason);
  }
}

void TaskTable::ThrottleDone(const TaskKey& aKey,
                             double aFraction,
                             const absl::Status& aResult,
                             Instant aNow)
{
  if (AgentTask* const task = Find(aKey)) {
    OnCallDone(*task, aResult, aNow);
    if (aResult.ok()) {
      task->mAppliedFraction = aFraction;
    }
  }
}

void TaskTable::AcknowledgeDone(std::span<const TaskKey> aKeys,
                                const absl::Status& aResult,
                                Instant aNow)
{
  for (const TaskKey& key : aKeys) {
    if (AgentTask* const task = Find(key)) {
      OnCallDone(*task, aResult, aNow);
      if (aResult.ok()) {
        Erase(key, aNow);
      }
    }
  }
}

void TaskTable::Erase(const TaskKey& aKey, Instant aNow)
{
  const auto task = mTasks.find(aKey);
  mRefused.Remember(aKey, Reason::StaleEpoch, mSequence, aNow);
  mAcknowledgedEnds.push_back(std::move(task->second.mStatus));
  if (mAcknowledgedEnds.size() > mLimits.mMaxAcknowledgedEnds) {
    mAcknowledgedEnds.pop_front();
  }
  mTasks.erase(task);
  mLastErasedAt = aNow;
}

} // namespace foxtailbarrow
