#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "tests/ownership/Fleet.h"

namespace foxtailbarrow::test {

/// Ways in which the rules around the tested logic can be broken, to show that
/// the checks notice it. Others are broken by settings.
struct TaskMutations
{
  bool mDatedByReceipt = false; ///< Leases count from the reply's arrival.
  bool mBlindRetry = false;     ///< A lost assignment write counts as done.
};

/// A fleet with agents that run one task a shard at a time, and owners that
/// assign it. Counts how often a task ran in two places at once.
class TaskFleet : public Fleet
{
public:
  TaskFleet(const OwnershipSettings& aSettings,
            std::size_t aEntries,
            std::size_t aAgents,
            int aSeed);

  std::size_t Agents() const { return mAgents.size(); }
  Node& AgentNode(std::size_t aAgent) { return mAgents[aAgent].mNode; }

  /// The one agent whose worker runs the shard's task now.
  std::optional<std::size_t> RunsAt(ShardId aShard) const;

  /// Starts of the shard's task so far.
  Epoch Starts(ShardId aShard) const { return mStarts.at(aShard); }

  /// Empty, or a description of the first task in two places.
  std::string mFirstDoubleRun;
  TaskMutations mMutations;

private:
  /// What an agent knows of a shard's task.
  struct Run
  {
    Generation mFence = 0;
    Instant mLeaseEnds{}; ///< Of the shard, under that generation.
    Epoch mSeen = 0;
    bool mRunning = false;
    Duration mWorkerEnds{}; ///< True time at which the worker stops it.
  };

  struct Agent
  {
    Node mNode;
    std::vector<Run> mRuns; ///< By shard.
  };

  /// A heartbeat's news of one shard.
  struct RunReport
  {
    Instant mAt{};
    Instant mSent{}; ///< By the agent's clock.
    Epoch mSeen = 0;
    bool mRunning = false;
    Generation mFence = 0;
  };

  /// What an owner knows of its shard's job.
  struct Job
  {
    Generation mGeneration = 0;
    bool mLoaded = false;
    bool mBusy = false;
    bool mInherited = true; ///< Assigned before this holding began.
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
