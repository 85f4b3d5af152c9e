#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "tests/ownership/Fleet.h"

namespace foxtailbarrow::test {

/// Mutations of the code around the tested logic, to show that the checks
/// detect them. Other mutations are made through the settings.
struct TaskMutations
{
  bool mDatedByReceipt = false; ///< Leases start when the reply arrives.
  bool mBlindRetry = false;     ///< A lost assignment write is assumed done.
};

/// A fleet whose agents run one task per shard at a time, assigned by the
/// shard's owner. Detects a task that runs on two agents at once.
class TaskFleet : public Fleet
{
public:
  TaskFleet(const OwnershipSettings& aSettings,
            std::size_t aEntries,
            std::size_t aAgents,
            int aSeed);

  std::size_t Agents() const { return mAgents.size(); }
  Node& AgentNode(std::size_t aAgent) { return mAgents[aAgent].mNode; }

  /// The agent whose worker currently runs the shard's task.
  std::optional<std::size_t> RunsAt(ShardId aShard) const;

  /// Number of starts of the shard's task.
  Epoch Starts(ShardId aShard) const { return mStarts.at(aShard); }

  /// Describes the first task that ran on two agents at once; empty if none.
  std::string mFirstDoubleRun;
  TaskMutations mMutations;

private:
  /// An agent's state of a shard's task.
  struct Run
  {
    Generation mFence = 0;
    Instant mLeaseEnds{}; ///< Of the shard, under that generation.
    Epoch mSeen = 0;
    bool mRunning = false;
    Duration mWorkerEnds{}; ///< True time at which the worker stops the task.
  };

  struct Agent
  {
    Node mNode;
    std::vector<Run> mRuns; ///< By shard.
  };

  /// State of a shard's task as reported by a heartbeat.
  struct RunReport
  {
    Instant mAt{};
    Instant mSent{}; ///< By the agent's clock.
    Epoch mSeen = 0;
    bool mRunning = false;
    Generation mFence = 0;
  };

  /// An owner's state of its shard's job.
  struct Job
  {
    Generation mGeneration = 0;
    bool mLoaded = false;
    bool mBusy = false;
    bool mInherited = true; ///< Assigned before the shard was gained.
    Epoch mEpoch = 0;
    std::size_t mAgent = 0;
    Revision mRevision = 0;
    std::map<std::size_t, Instant> mExtended;
    std::map<std::size_t, RunReport> mRunReports;
  };

  void OnShards(std::size_t aEntry, const OwnershipActions& aActions) override;
  void OnTick(std::size_t aEntry) override;

  void SendHeartbeat(std::size_t aAgent);
  void OnHeartbeat(std::size_t aEntry,
                   std::size_t aAgent,
                   Instant aSent,
                   const std::vector<Run>& aRuns);
  void OnLease(std::size_t aAgent,
               ShardId aShard,
               Generation aGeneration,
               Instant aSent);
  void OnAssign(std::size_t aAgent,
                ShardId aShard,
                Generation aGeneration,
                Epoch aEpoch,
                Instant aSent);
  void Renew(std::size_t aAgent);
  void RunAt(std::size_t aAgent, ShardId aShard);

  Job* Find(std::size_t aEntry, ShardId aShard, Generation aGeneration);
  void Load(std::size_t aEntry, ShardId aShard, Job& aJob);
  void OnRecord(Job& aJob, const std::string& aText, Revision aRevision);
  void Decide(std::size_t aEntry, ShardId aShard, Job& aJob);
  bool MayMove(std::size_t aEntry, ShardId aShard, const Job& aJob) const;
  void Assign(std::size_t aEntry,
              ShardId aShard,
              Job& aJob,
              std::size_t aAgent);

  std::vector<Agent> mAgents;
  std::map<std::pair<std::size_t, ShardId>, Job> mJobs;
  std::vector<Epoch> mStarts;
  std::string mLastToken;
};

} // namespace foxtailbarrow::test
