#pragma once

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "foxtailbarrow/Messages.h"
#include "src/core/job/JobAction.h"

namespace foxtailbarrow::test {

using Random = std::mt19937_64;

/// True with a probability of aPerMille / 1000.
inline bool Chance(Random& aRandom, int aPerMille)
{
  return static_cast<int>(aRandom() % 1000) < aPerMille;
}

/// Model of an agent and its worker that implements only the protocol. The
/// worker continues while the agent is frozen.
class ModelAgent
{
public:
  ModelAgent(std::string aName, Resources aCapacity)
    : mId(std::move(aName))
    , mCapacity(aCapacity)
  {
  }

  void StepWorker(Instant aNow, Random& aRandom, int aFailPerMille);
  Heartbeat SendHeartbeat(Instant aNow);
  void OnReply(std::uint64_t aSequence,
               const std::vector<ShardLease>& aLeases,
               const std::vector<TaskKey>& aAcknowledged,
               const std::vector<TaskKey>& aDisowned);
  AssignReply Handle(const Assign& aAssign, Instant aNow);
  ControlReply Handle(const Control& aControl);

  /// Writes a checkpoint of some running task and stops it.
  void EvictOne(Random& aRandom);

  /// Replaces the VM by an empty one.
  void Replace();

  /// Restarts the agent process, which must first read the tasks of its worker.
  void RestartProcess(int aRebuildHeartbeats);

  bool Frozen(Instant aNow) const { return aNow < mFrozenUntil; }
  std::vector<JobId> RunningJobs() const;
  Resources Reserved() const;

  AgentId mId;
  Resources mCapacity;
  Instant mFrozenUntil{};
  Incarnation mIncarnation = 1;
  std::set<std::pair<TaskKey, Incarnation>> mStarted;

private:
  struct Task
  {
    ShardId mShard = 0;
    TaskStatus mStatus;
    Instant mLeaseUntil{};
    int mStepsLeft = 0;
  };

  AssignReply Refuse(const TaskKey& aKey, Reason aReason);

  std::map<TaskKey, Task> mTasks;
  std::map<std::uint64_t, Instant> mSentAt;
  std::map<ShardId, Generation> mGenerations;
  std::map<JobId, Epoch> mEpochs;
  std::set<TaskKey> mRefused;
  std::uint64_t mSequence = 0;
  int mRebuildHeartbeats = 0; ///< Heartbeats until its ledger is rebuilt.
};

} // namespace foxtailbarrow::test
