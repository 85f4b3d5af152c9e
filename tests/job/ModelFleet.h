#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "src/core/job/JobScheduler.h"
#include "tests/job/ModelAgent.h"

namespace foxtailbarrow::test {

/// Probabilities of faults, per mille of the opportunities.
struct Faults
{
  int mStoreUnknown = 0; ///< Reply lost; the write is applied later.
  int mStoreNotRun = 0;
  int mAssignLost = 0; ///< Reply lost; the call may arrive much later.
  int mHeartbeatLost = 0;
  int mAgentFreeze = 0; ///< Per step, for a random agent.
  int mAgentReplace = 0;
  int mAgentRestart = 0;
  int mEntryPause = 0;
  int mEntryCrash = 0;
  int mEvict = 0;
  int mTaskFails = 0; ///< Per step and task.
};

/// Simulates two entries that take over one shard from each other, a store and
/// four agents, in virtual time. Violations() lists every broken guarantee.
class ModelFleet
{
public:
  static constexpr ShardId kShard = 0;
  static constexpr Duration kStep = std::chrono::milliseconds(100);

  ModelFleet(std::uint64_t aSeed,
             const Faults& aFaults,
             const JobSchedulerSettings& aSettings = {});

  void Submit(const JobSpec& aSpec);
  void Cancel(const JobId& aJob);
  void Run(Duration aSpan);
  void StopFaults() { mFaults = {}; }
  void PauseOwner(Duration aSpan);
  void FreezeAgentOf(const JobId& aJob, Duration aSpan);

  const JobRecord& Record(const JobId& aJob) const
  {
    return mRecords.at(aJob).mRecord;
  }
  bool AllFinal() const;
  int RunningPlaces(const JobId& aJob) const;
  const std::vector<std::string>& Violations() const { return mViolations; }

private:
  struct Entry
  {
    std::unique_ptr<JobScheduler> mScheduler;
    std::vector<JobEvent> mInbox; ///< Events received while paused.
    Instant mPausedUntil{};
    Instant mValidUntil{};
    Generation mGeneration = 0;  ///< 0 = does not own the shard.
    std::uint64_t mRestarts = 0; ///< Incremented by a crash.
    std::map<AgentId, std::vector<TaskKey>> mAcknowledge;
    std::map<AgentId, std::vector<TaskKey>> mDisown;
  };

  void Step();
  void InjectFaults();
  void StepEntry(std::size_t aIndex);
  void RelistJobs(std::size_t aIndex);
  void Acquire(std::size_t aIndex);
  void SendHeartbeat(ModelAgent& aAgent);
  void Deliver(std::size_t aIndex,
               std::uint64_t aRestarts,
               const JobEvent& aEvent);
  void Execute(std::size_t aIndex, const CommitRecord& aAction);
  void Execute(std::size_t aIndex, const SendAssign& aAction);
  void Execute(std::size_t aIndex, const SendControl& aAction);
  void Execute(std::size_t aIndex, const AcknowledgeTasks& aAction);
  void Execute(std::size_t aIndex, const DisownTasks& aAction);
  void Execute(std::size_t aIndex, const ExtendLeases& aAction);
  void Execute(std::size_t aIndex, const ReadJob& aAction);
  CommitDone Write(const CommitRecord& aCommit);
  void CheckWrite(const JobRecord& aBefore, const JobRecord& aAfter);
  void CheckStart(const TaskStart& aStart);
  void CheckAcknowledge(const TaskKey& aKey);
  void CheckPlaces();
  void After(Duration aDelay, std::function<void()> aWork);
  void AfterThaw(ModelAgent& aAgent, Duration aDelay, std::function<void()>);
  Duration Delay(int aMaxMs);
  ModelAgent& Find(const AgentId& aAgent);
  void AddViolation(std::string aWhat);

  Random mRandom;
  Faults mFaults;
  JobSchedulerSettings mSettings;
  Instant mNow{ std::chrono::seconds(1000) };
  std::vector<ModelAgent> mAgents;
  std::vector<Entry> mEntries;
  std::map<JobId, StoredJob> mRecords;
  Revision mRevision = 10;
  Generation mGeneration = 0;
  std::size_t mOwner = 0;
  Instant mStoreLeaseUntil{};
  std::multimap<Instant, std::function<void()>> mQueue;
  std::map<TaskKey, AgentId> mStarts;
  std::vector<std::string> mViolations;
};

} // namespace foxtailbarrow::test
