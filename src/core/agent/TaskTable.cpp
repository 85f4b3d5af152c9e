#include "src/core/agent/TaskTable.h"

#include <algorithm>
#include <utility>

namespace foxtailbarrow {

namespace {

using Desired = AgentTask::DesiredState;

std::string Text(Reason aReason)
{
  return std::string(ToString(aReason));
}

absl::Status StaleGeneration()
{
  return WithVerdict(
    absl::FailedPreconditionError("a later owner of the shard is known"),
    Verdict::NotRun);
}

} // namespace

TaskTable::TaskTable(TaskTableLimits aLimits,
                     Incarnation aIncarnation,
                     CapacityLedger& aLedger,
                     ShardOf aShardOf)
  : mLimits(aLimits)
  , mIncarnation(aIncarnation)
  , mLedger(aLedger)
  , mShardOf(std::move(aShardOf))
  , mRefused(aLimits.mMaxRefused, aLimits.mRefusedRetention)
{
}

AssignReply TaskTable::Assign(const foxtailbarrow::Assign& aAssign,
                              Instant aNow)
{
  if (const Reason reason = CheckFences(aAssign); reason != Reason::None) {
    return Refuse(aAssign, reason, aNow);
  }
  const TaskKey& key = aAssign.mTask.mKey;
  if (!mTasks.contains(key)) {
    Reason reason = CheckLease(aAssign, aNow);
    if (reason == Reason::None) {
      reason = CheckCapacity(aAssign);
    }
    if (reason != Reason::None) {
      return Refuse(aAssign, reason, aNow);
    }
    AgentTask& task = mTasks[key];
    task.mStart = aAssign.mTask;
    task.mShard = aAssign.mShard;
    task.mStatus.mKey = key;
    task.mStatus.mCustomer = aAssign.mTask.mCustomer;
    task.mStatus.mKind = aAssign.mTask.mKind;
    task.mStatus.mReserved = aAssign.mTask.mResources;
  }
  return { true, Reason::None, Verdict::MayHaveRun, mLedger.Free() };
}

AssignReply TaskTable::Refuse(const foxtailbarrow::Assign& aAssign,
                              Reason aReason,
                              Instant aNow)
{
  mRefused.Remember(aAssign.mTask.mKey, aReason, mSequence, aNow);
  return { false, aReason, Verdict::NotRun, mLedger.Free() };
}

Reason TaskTable::CheckFences(const foxtailbarrow::Assign& aAssign) const
{
  const TaskKey& key = aAssign.mTask.mKey;
  if (!mLeases.Accepts(aAssign.mShard, aAssign.mGeneration)) {
    return Reason::StaleEpoch;
  }
  if (const auto refused = mRefused.Find(key)) {
    return *refused;
  }
  // Keys are ordered by job and epoch, so the job's newest assignment is last.
  auto newest = mTasks.upper_bound({ key.mJob, ~Epoch{ 0 } });
  if (newest == mTasks.begin() || (--newest)->first.mJob != key.mJob) {
    return Reason::None;
  }
  if (newest->first.mEpoch > key.mEpoch) {
    return Reason::StaleEpoch;
  }
  const bool isOlderRunning =
    newest->first.mEpoch < key.mEpoch && !newest->second.Ended();
  return isOlderRunning ? Reason::WaitingForLease : Reason::None;
}

Reason TaskTable::CheckLease(const foxtailbarrow::Assign& aAssign, Instant aNow)
{
  if (aAssign.mSequence != 0) {
    const auto sentAt = mLeases.SentAt(aAssign.mSequence);
    if (aAssign.mIncarnation != mIncarnation || !sentAt ||
        aAssign.mSequence <= mRefused.Floor() ||
        *sentAt + aAssign.mTask.mLease <= aNow) {
      return Reason::LeaseLapsed;
    }
    mLeases.Extend(
      aAssign.mShard, aAssign.mGeneration, *sentAt, aAssign.mTask.mLease);
  }
  return mLeases.Left(aAssign.mShard, aNow) > Duration{}
           ? Reason::None
           : Reason::WaitingForLease;
}

Reason TaskTable::CheckCapacity(const foxtailbarrow::Assign& aAssign)
{
  if (mDraining) {
    return Reason::Draining;
  }
  if (mTasks.size() >= mLimits.mMaxTasks) {
    return Reason::CapacityTaken;
  }
  const TaskStart& start = aAssign.mTask;
  return mLedger.Reserve(
    start.mKey, start.mCustomer, start.mResources, aAssign.mSharePerWorker);
}

absl::StatusOr<TaskStatus> TaskTable::Control(
  const foxtailbarrow::Control& aControl,
  Instant aNow)
{
  if (!mLeases.Accepts(aControl.mShard, aControl.mGeneration)) {
    return StaleGeneration();
  }
  AgentTask* const task = Find(aControl.mKey);
  if (task == nullptr) {
    if (auto ended = StatusOf(aControl.mKey)) {
      return *std::move(ended);
    }
    mRefused.Remember(aControl.mKey, aControl.mReason, mSequence, aNow);
    TaskStatus status;
    status.mKey = aControl.mKey;
    status.mState = TaskState::Stopped;
    status.mReason = Text(aControl.mReason);
    return status;
  }
  switch (aControl.mAction) {
    case TaskAction::Stop:
      RaiseDesiredState(*task, Desired::Stop, aControl.mReason);
      break;
    case TaskAction::Evict:
      RaiseDesiredState(*task, Desired::Checkpoint, aControl.mReason);
      break;
    case TaskAction::Throttle:
      Throttle(aControl.mKey, aControl.mFraction);
      break;
  }
  return task->mStatus;
}

void TaskTable::HeartbeatSent(std::uint64_t aSequence, Instant aNow)
{
  mSequence = aSequence;
  mLeases.HeartbeatSent(aSequence, aNow);
}

void TaskTable::ApplyReply(std::uint64_t aSequence,
                           const HeartbeatReply& aReply,
                           Instant aNow)
{
  if (const auto sentAt = mLeases.SentAt(aSequence)) {
    for (const ShardLease& lease : aReply.mLeases) {
      mLeases.Extend(lease.mShard, lease.mGeneration, *sentAt, lease.mTtl);
    }
  }
  for (const TaskKey& key : aReply.mAcknowledged) {
    if (AgentTask* const task = Find(key); task != nullptr && task->Ended()) {
      task->mAcknowledged = true;
    }
  }
  for (const TaskKey& key : aReply.mUnknown) {
    if (AgentTask* const task = Find(key)) {
      RaiseDesiredState(*task, Desired::Stop, Reason::StaleEpoch);
      task->mAcknowledged = task->Ended();
    } else {
      mRefused.Remember(key, Reason::StaleEpoch, mSequence, aNow);
    }
  }
}

void TaskTable::Evict(const TaskKey& aKey, Reason aReason)
{
  if (AgentTask* const task = Find(aKey)) {
    RaiseDesiredState(*task, Desired::Checkpoint, aReason);
  }
}

void TaskTable::Throttle(const TaskKey& aKey, double aFraction)
{
  constexpr double kMinFraction = 0.01;
  if (AgentTask* const task = Find(aKey)) {
    task->mFraction = std::clamp(aFraction, kMinFraction, 1.0);
  }
}

void TaskTable::Drain()
{
  mDraining = true;
  for (auto& [key, task] : mTasks) {
    RaiseDesiredState(task, Desired::Checkpoint, Reason::EvictedForDrain);
  }
}

/// Changes the desired state only in the order run, checkpoint, stop.
void TaskTable::RaiseDesiredState(AgentTask& aTask,
                                  AgentTask::DesiredState aDesiredState,
                                  Reason aReason)
{
  if (aTask.Ended() || aDesiredState <= aTask.mDesiredState) {
    return;
  }
  aTask.mDesiredState = aDesiredState;
  aTask.mReason = aReason;
  if (!aTask.mStartTried) {
    End(aTask, TaskState::Stopped, Text(aReason));
  }
}

void TaskTable::End(AgentTask& aTask,
                    TaskState aState,
                    std::string aReason,
                    std::string aCheckpoint)
{
  aTask.mStatus.mState = aState;
  aTask.mStatus.mReason = std::move(aReason);
  aTask.mStatus.mCheckpoint = std::move(aCheckpoint);
  mLedger.Release(aTask.mStatus.mKey);
}

std::vector<TaskReport> TaskTable::Reports() const
{
  std::vector<TaskReport> reports;
  reports.reserve(mTasks.size());
  for (const auto& [key, task] : mTasks) {
    reports.push_back({ task.mShard, task.mStatus });
  }
  return reports;
}

std::optional<TaskStatus> TaskTable::StatusOf(const TaskKey& aKey) const
{
  if (const auto task = mTasks.find(aKey); task != mTasks.end()) {
    return task->second.mStatus;
  }
  const auto acknowledged = std::find_if(
    mAcknowledgedEnds.begin(),
    mAcknowledgedEnds.end(),
    [&aKey](const TaskStatus& aStatus) { return aStatus.mKey == aKey; });
  if (acknowledged == mAcknowledgedEnds.end()) {
    return std::nullopt;
  }
  return *acknowledged;
}

std::size_t TaskTable::EndedTasks() const
{
  return std::count_if(mTasks.begin(), mTasks.end(), [](const auto& aEntry) {
    return aEntry.second.Ended();
  });
}

AgentTask* TaskTable::Find(const TaskKey& aKey)
{
  const auto task = mTasks.find(aKey);
  return task == mTasks.end() ? nullptr : &task->second;
}

} // namespace foxtailbarrow
