#include "tests/job/ModelAgent.h"

namespace foxtailbarrow::test {

void ModelAgent::StepWorker(Instant aNow, Random& aRandom, int aFailPerMille)
{
  for (auto& [key, task] : mTasks) {
    if (task.mStatus.mState != TaskState::Running) {
      continue;
    }
    if (aNow >= task.mLeaseUntil) {
      task.mStatus.mState = TaskState::Stopped;
    } else if (Chance(aRandom, aFailPerMille)) {
      task.mStatus.mState = TaskState::Failed;
    } else if (--task.mStepsLeft == 0) {
      task.mStatus.mState = TaskState::Finished;
    }
  }
}

Heartbeat ModelAgent::SendHeartbeat(Instant aNow)
{
  Heartbeat heartbeat;
  heartbeat.mAgent = mId;
  heartbeat.mIncarnation = mIncarnation;
  heartbeat.mSequence = ++mSequence;
  heartbeat.mLoad.mCapacity = mCapacity;
  mSentAt[mSequence] = aNow;
  if (mRebuildHeartbeats > 0) {
    --mRebuildHeartbeats;
    heartbeat.mState = ServingState::Starting;
    return heartbeat;
  }
  heartbeat.mState = ServingState::Serving;
  heartbeat.mLoad.mReserved = Reserved();
  for (const auto& [key, task] : mTasks) {
    heartbeat.mTasks.push_back({ task.mShard, task.mStatus });
  }
  return heartbeat;
}

void ModelAgent::OnReply(std::uint64_t aSequence,
                         const std::vector<ShardLease>& aLeases,
                         const std::vector<TaskKey>& aAcknowledged,
                         const std::vector<TaskKey>& aDisowned)
{
  const auto sent = mSentAt.find(aSequence);
  if (sent == mSentAt.end()) {
    return;
  }
  for (const ShardLease& lease : aLeases) {
    Generation& seen = mGenerations[lease.mShard];
    if (lease.mGeneration < seen) {
      continue;
    }
    seen = lease.mGeneration;
    for (auto& [key, task] : mTasks) {
      if (task.mShard == lease.mShard) {
        task.mLeaseUntil =
          std::max(task.mLeaseUntil, sent->second + lease.mTtl);
      }
    }
  }
  for (const TaskKey& key : aDisowned) {
    mTasks.erase(key);
  }
  for (const TaskKey& key : aAcknowledged) {
    const auto found = mTasks.find(key);
    if (found != mTasks.end() &&
        found->second.mStatus.mState != TaskState::Running) {
      mTasks.erase(found);
    }
  }
}

AssignReply ModelAgent::Refuse(const TaskKey& aKey, Reason aReason)
{
  mRefused.insert(aKey);
  AssignReply reply;
  reply.mReason = aReason;
  reply.mFree = mCapacity - Reserved();
  return reply;
}

AssignReply ModelAgent::Handle(const Assign& aAssign, Instant aNow)
{
  const TaskStart& start = aAssign.mTask;
  AssignReply granted;
  granted.mGranted = true;
  granted.mVerdict = Verdict::Ran;
  if (mTasks.contains(start.mKey)) {
    return granted;
  }
  const auto sent = mSentAt.find(aAssign.mSequence);
  const bool leased = aAssign.mIncarnation == mIncarnation &&
                      sent != mSentAt.end() &&
                      aNow < sent->second + start.mLease;
  const bool current = aAssign.mGeneration >= mGenerations[aAssign.mShard] &&
                       start.mKey.mEpoch > mEpochs[start.mKey.mJob];
  if (mRebuildHeartbeats > 0 || !leased || !current ||
      mRefused.contains(start.mKey)) {
    return Refuse(start.mKey, Reason::StaleEpoch);
  }
  if (!(Reserved() + start.mResources).FitsIn(mCapacity)) {
    return Refuse(start.mKey, Reason::CapacityTaken);
  }
  mEpochs[start.mKey.mJob] = start.mKey.mEpoch;
  mStarted.insert({ start.mKey, mIncarnation });
  Task& task = mTasks[start.mKey];
  task.mShard = aAssign.mShard;
  task.mStatus.mKey = start.mKey;
  task.mStatus.mReserved = start.mResources;
  task.mLeaseUntil = sent->second + start.mLease;
  task.mStepsLeft = start.mKind == JobKind::Standing ? -1 : 80;
  return granted;
}

ControlReply ModelAgent::Handle(const Control& aControl)
{
  ControlReply reply;
  const auto found = mTasks.find(aControl.mKey);
  if (found == mTasks.end()) {
    return reply;
  }
  TaskStatus& status = found->second.mStatus;
  if (status.mState == TaskState::Running) {
    const bool evict = aControl.mAction == TaskAction::Evict;
    status.mState = evict ? TaskState::Checkpointed : TaskState::Stopped;
    status.mCheckpoint =
      evict ? "of-epoch-" + std::to_string(status.mKey.mEpoch) : "";
  }
  reply.mStatus = status;
  return reply;
}

void ModelAgent::EvictOne(Random& aRandom)
{
  if (mTasks.empty()) {
    return;
  }
  auto victim = mTasks.begin();
  std::advance(victim, static_cast<long>(aRandom() % mTasks.size()));
  Control control;
  control.mKey = victim->first;
  control.mAction = TaskAction::Evict;
  Handle(control);
}

void ModelAgent::Replace()
{
  mTasks.clear();
  mEpochs.clear();
  mRefused.clear();
  mGenerations.clear();
  RestartProcess(0);
}

void ModelAgent::RestartProcess(int aRebuildHeartbeats)
{
  ++mIncarnation;
  mSequence = 0;
  mSentAt.clear();
  mRebuildHeartbeats = aRebuildHeartbeats;
}

std::vector<JobId> ModelAgent::RunningJobs() const
{
  std::vector<JobId> jobs;
  for (const auto& [key, task] : mTasks) {
    if (task.mStatus.mState == TaskState::Running) {
      jobs.push_back(key.mJob);
    }
  }
  return jobs;
}

Resources ModelAgent::Reserved() const
{
  Resources sum;
  for (const auto& [key, task] : mTasks) {
    if (task.mStatus.mState == TaskState::Running) {
      sum += task.mStatus.mReserved;
    }
  }
  return sum;
}

} // namespace foxtailbarrow::test
