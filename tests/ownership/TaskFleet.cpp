#include "tests/ownership/TaskFleet.h"

#include <sstream>

#include "src/core/ownership/StoreKeys.h"

namespace foxtailbarrow::test {

namespace {

/// Lease that an agent requests from its worker per renewal.
constexpr Duration kWorkerLease = 2s;
constexpr Duration kRenewal = 500ms;
constexpr Duration kHeartbeat = 1s;
constexpr Duration kReportTimeout = 5s;

std::string JobKey(ShardId aShard)
{
  return "/foxtailbarrow/jobs/" + std::to_string(aShard) + "/job";
}

} // namespace

TaskFleet::TaskFleet(const OwnershipSettings& aSettings,
                     std::size_t aEntries,
                     std::size_t aAgents,
                     int aSeed)
  : Fleet(aSettings, aEntries, aSeed)
  , mAgents(aAgents)
  , mStarts(aSettings.mShards)
{
  std::uniform_real_distribution<double> rate(0.99, 1.01);
  for (std::size_t agent = 0; agent < aAgents; ++agent) {
    Node& node = mAgents[agent].mNode;
    node.mRate = rate(mRandom);
    mAgents[agent].mRuns.resize(aSettings.mShards);
    Every(node, kHeartbeat, [this, agent] { SendHeartbeat(agent); });
    Every(node, kRenewal, [this, agent] { Renew(agent); });
  }
}

std::optional<std::size_t> TaskFleet::RunsAt(ShardId aShard) const
{
  for (std::size_t agent = 0; agent < mAgents.size(); ++agent) {
    if (mAgents[agent].mRuns[aShard].mWorkerEnds > Now()) {
      return agent;
    }
  }
  return std::nullopt;
}

void TaskFleet::OnShards(std::size_t aEntry, const OwnershipActions& aActions)
{
  for (const OwnershipAction& action : aActions) {
    if (const auto* const gained = std::get_if<ShardGained>(&action)) {
      Job& job = mJobs[{ aEntry, gained->mShard }];
      job = Job();
      job.mGeneration = gained->mGeneration;
    } else if (const auto* const lost = std::get_if<ShardGivenUp>(&action)) {
      mJobs.erase({ aEntry, lost->mShard });
    }
  }
}

void TaskFleet::OnTick(std::size_t aEntry)
{
  for (ShardId shard = 0; shard < mSettings.mShards; ++shard) {
    const auto job = mJobs.find({ aEntry, shard });
    if (job == mJobs.end() || job->second.mBusy ||
        !Owner(aEntry).MayExtend(shard, LocalNow(aEntry))) {
      continue;
    }
    if (job->second.mLoaded) {
      Decide(aEntry, shard, job->second);
    } else {
      Load(aEntry, shard, job->second);
    }
  }
}

void TaskFleet::SendHeartbeat(std::size_t aAgent)
{
  Agent& agent = mAgents[aAgent];
  const Instant sent = agent.mNode.Local(Now());
  for (std::size_t entry = 0; entry < Size(); ++entry) {
    Send(agent.mNode, EntryNode(entry), [=, this, runs = agent.mRuns] {
      OnHeartbeat(entry, aAgent, sent, runs);
    });
  }
}

void TaskFleet::OnHeartbeat(std::size_t aEntry,
                            std::size_t aAgent,
                            Instant aSent,
                            const std::vector<Run>& aRuns)
{
  const Instant now = LocalNow(aEntry);
  for (ShardId shard = 0; shard < aRuns.size(); ++shard) {
    const auto found = mJobs.find({ aEntry, shard });
    if (found == mJobs.end() || !Owner(aEntry).MayExtend(shard, now)) {
      continue;
    }
    Job& job = found->second;
    const Run& run = aRuns[shard];
    job.mRunReports[aAgent] = {
      now, aSent, run.mSeen, run.mRunning, run.mFence
    };
    job.mExtended[aAgent] = now;
    Send(EntryNode(aEntry),
         AgentNode(aAgent),
         [=, this, generation = job.mGeneration] {
           OnLease(aAgent, shard, generation, aSent);
         });
  }
}

void TaskFleet::OnLease(std::size_t aAgent,
                        ShardId aShard,
                        Generation aGeneration,
                        Instant aSent)
{
  Run& run = mAgents[aAgent].mRuns[aShard];
  if (aGeneration < run.mFence) {
    return;
  }
  const Instant now = mAgents[aAgent].mNode.Local(Now());
  if (now >= run.mLeaseEnds) {
    run.mRunning = false;
  }
  run.mFence = aGeneration;
  run.mLeaseEnds =
    std::max(run.mLeaseEnds,
             (mMutations.mDatedByReceipt ? now : aSent) + mSettings.mTaskLease);
}

void TaskFleet::OnAssign(std::size_t aAgent,
                         ShardId aShard,
                         Generation aGeneration,
                         Epoch aEpoch,
                         Instant aSent)
{
  Run& run = mAgents[aAgent].mRuns[aShard];
  const Instant now = mAgents[aAgent].mNode.Local(Now());
  // The lease starts at the heartbeat that the assignment names, so a delayed
  // assignment cannot start a task under a newer extension.
  const Instant ends = aSent + mSettings.mTaskLease;
  if (aGeneration < run.mFence || aEpoch <= run.mSeen ||
      now + 2 * kWorkerLease > ends) {
    return;
  }
  run.mFence = aGeneration;
  run.mLeaseEnds = std::max(run.mLeaseEnds, ends);
  run.mSeen = aEpoch;
  run.mRunning = true;
  ++mStarts[aShard];
  RunAt(aAgent, aShard);
}

void TaskFleet::Renew(std::size_t aAgent)
{
  Agent& agent = mAgents[aAgent];
  const Instant now = agent.mNode.Local(Now());
  for (ShardId shard = 0; shard < agent.mRuns.size(); ++shard) {
    Run& run = agent.mRuns[shard];
    run.mRunning = run.mRunning && now < run.mLeaseEnds;
    if (!run.mRunning || now + 2 * kWorkerLease > run.mLeaseEnds) {
      continue;
    }
    // Delayed if the agent pauses after the check.
    Deliver(agent.mNode, mNetwork.mDelay, [=, this, epoch = run.mSeen] {
      Run& atWorker = mAgents[aAgent].mRuns[shard];
      if (atWorker.mSeen != epoch) {
        return;
      }
      if (atWorker.mWorkerEnds > Now()) {
        RunAt(aAgent, shard);
      } else {
        atWorker.mRunning = false;
      }
    });
  }
}

void TaskFleet::RunAt(std::size_t aAgent, ShardId aShard)
{
  Run& run = mAgents[aAgent].mRuns[aShard];
  run.mWorkerEnds = std::max(run.mWorkerEnds, Now() + kWorkerLease);
  for (std::size_t other = 0; other < mAgents.size(); ++other) {
    const Run& otherRun = mAgents[other].mRuns[aShard];
    if (other != aAgent && otherRun.mWorkerEnds > Now() &&
        mFirstDoubleRun.empty()) {
      std::ostringstream text;
      text << "shard " << aShard << " at agent " << aAgent << " epoch "
           << run.mSeen << " and agent " << other << " epoch " << otherRun.mSeen
           << " after " << Now().count() / 1e6 << " s";
      mFirstDoubleRun = text.str();
    }
  }
}

TaskFleet::Job* TaskFleet::Find(std::size_t aEntry,
                                ShardId aShard,
                                Generation aGeneration)
{
  const auto job = mJobs.find({ aEntry, aShard });
  const bool same =
    job != mJobs.end() && job->second.mGeneration == aGeneration;
  return same ? &job->second : nullptr;
}

void TaskFleet::Load(std::size_t aEntry, ShardId aShard, Job& aJob)
{
  aJob.mBusy = true;
  CallStore(
    EntryNode(aEntry),
    ListCall{ JobKey(aShard) },
    [=, this, generation = aJob.mGeneration](const StoreResult& aResult) {
      Job* const job = Find(aEntry, aShard, generation);
      if (job == nullptr) {
        return;
      }
      job->mBusy = false;
      if (const auto* const listing = std::get_if<StoreListing>(&aResult)) {
        job->mLoaded = true;
        for (const StoreEntry& entry : listing->mEntries) {
          OnRecord(*job, entry.mValue, entry.mModRevision);
        }
      }
    });
}

void TaskFleet::OnRecord(Job& aJob,
                         const std::string& aText,
                         Revision aRevision)
{
  std::istringstream text(aText);
  text >> aJob.mEpoch >> aJob.mAgent;
  aJob.mRevision = aRevision;
  aJob.mInherited = true;
}

void TaskFleet::Decide(std::size_t aEntry, ShardId aShard, Job& aJob)
{
  const Instant now = LocalNow(aEntry);
  if (aJob.mEpoch != 0) {
    const auto report = aJob.mRunReports.find(aJob.mAgent);
    const bool isReported = report != aJob.mRunReports.end() &&
                            now < report->second.mAt + kReportTimeout &&
                            report->second.mFence == aJob.mGeneration;
    const bool ended = isReported && !report->second.mRunning &&
                       report->second.mSeen >= aJob.mEpoch;
    if (isReported && report->second.mSeen < aJob.mEpoch) {
      aJob.mExtended[aJob.mAgent] = now;
      Send(EntryNode(aEntry),
           AgentNode(aJob.mAgent),
           [this,
            aShard,
            agent = aJob.mAgent,
            generation = aJob.mGeneration,
            epoch = aJob.mEpoch,
            sent = report->second.mSent] {
             OnAssign(agent, aShard, generation, epoch, sent);
           });
    }
    if (!ended && (isReported || !MayMove(aEntry, aShard, aJob))) {
      return;
    }
  }
  std::vector<std::size_t> live;
  for (const auto& [agent, report] : aJob.mRunReports) {
    if (now < report.mAt + 2 * kHeartbeat) {
      live.push_back(agent);
    }
  }
  if (!live.empty()) {
    Assign(aEntry, aShard, aJob, live[mRandom() % live.size()]);
  }
}

bool TaskFleet::MayMove(std::size_t aEntry,
                        ShardId aShard,
                        const Job& aJob) const
{
  const Instant now = LocalNow(aEntry);
  const auto& owner = const_cast<TaskFleet*>(this)->Owner(aEntry);
  if (aJob.mInherited && !owner.MayReassign(aShard, now)) {
    return false;
  }
  const auto extended = aJob.mExtended.find(aJob.mAgent);
  const Duration wait =
    OwnershipSettings::WithClockError(mSettings.mTaskLease) + mSettings.mMargin;
  return extended == aJob.mExtended.end() || now >= extended->second + wait;
}

void TaskFleet::Assign(std::size_t aEntry,
                       ShardId aShard,
                       Job& aJob,
                       std::size_t aAgent)
{
  const Epoch epoch = aJob.mEpoch + 1;
  const std::string value = std::to_string(epoch) + " " +
                            std::to_string(aAgent) + " " +
                            std::to_string(mRandom());
  StoreTransaction transaction;
  transaction.mCompares = { { ShardKey(aShard), aJob.mGeneration },
                            { JobKey(aShard), aJob.mRevision } };
  transaction.mWrites = { { JobKey(aShard), value, 0 } };
  aJob.mBusy = true;
  CallStore(
    EntryNode(aEntry),
    CommitCall{ transaction },
    [=, this, generation = aJob.mGeneration](const StoreResult& aResult) {
      Job* const job = Find(aEntry, aShard, generation);
      if (job == nullptr) {
        return;
      }
      job->mBusy = false;
      const auto* const result = std::get_if<StoreTransactionResult>(&aResult);
      const bool assumedApplied = result == nullptr && mMutations.mBlindRetry;
      if (assumedApplied || (result != nullptr && result->mApplied)) {
        OnRecord(*job, value, assumedApplied ? 0 : result->mRevision);
        job->mInherited = false;
      } else {
        job->mLoaded = false;
      }
    });
}

} // namespace foxtailbarrow::test
