#include "tests/job/ModelFleet.h"

#include <algorithm>

/// The part of ModelFleet that executes the scheduler's actions.
namespace foxtailbarrow::test {

using namespace std::chrono_literals;

namespace {

constexpr Duration kCallTimeout = 1s;

} // namespace

void ModelFleet::Execute(std::size_t aIndex, const ExtendLeases& aAction)
{
  Entry& entry = mEntries[aIndex];
  const bool owns = entry.mGeneration != 0 && mNow < entry.mValidUntil;
  const auto leases = owns ? aAction.mLeases : std::vector<ShardLease>{};
  if (owns) {
    Deliver(aIndex,
            entry.mRestarts,
            HeartbeatReplySent{ aAction.mAgent,
                                aAction.mIncarnation,
                                aAction.mSequence,
                                mNow + mSettings.mTaskLease });
  }
  if (Chance(mRandom, mFaults.mHeartbeatLost)) {
    return;
  }
  auto acknowledged = std::exchange(entry.mAcknowledge[aAction.mAgent], {});
  auto disowned = std::exchange(entry.mDisown[aAction.mAgent], {});
  ModelAgent& agent = Find(aAction.mAgent);
  const auto deliver = [=, this, &agent] {
    if (agent.mIncarnation == aAction.mIncarnation) {
      std::ranges::for_each(acknowledged,
                            [&](const auto& aKey) { CheckAcknowledge(aKey); });
      agent.OnReply(aAction.mSequence, leases, acknowledged, disowned);
    }
  };
  AfterThaw(agent, Delay(300), deliver);
}

void ModelFleet::Execute(std::size_t aIndex, const CommitRecord& aAction)
{
  const std::uint64_t restarts = mEntries[aIndex].mRestarts;
  const auto answer = [this, aIndex, restarts](CommitDone aDone) {
    After(Delay(100), [=, this] { Deliver(aIndex, restarts, aDone); });
  };
  if (Chance(mRandom, mFaults.mStoreNotRun)) {
    answer({ aAction.mToken, CommitOutcome::NotRun, 0 });
  } else if (Chance(mRandom, mFaults.mStoreUnknown)) {
    answer({ aAction.mToken, CommitOutcome::Unknown, 0 });
    After(Delay(8'000), [=, this] { Write(aAction); });
  } else {
    After(Delay(100), [=, this] { answer(Write(aAction)); });
  }
}

CommitDone ModelFleet::Write(const CommitRecord& aCommit)
{
  StoredJob& job = mRecords.at(aCommit.mRecord.mSpec.mId);
  if (job.mRevision != aCommit.mExpected ||
      mGeneration != aCommit.mGeneration) {
    return { aCommit.mToken, CommitOutcome::Conflict, 0 };
  }
  CheckWrite(job.mRecord, aCommit.mRecord);
  job = { aCommit.mRecord, ++mRevision };
  return { aCommit.mToken, CommitOutcome::Applied, job.mRevision };
}

void ModelFleet::Execute(std::size_t aIndex, const SendAssign& aAction)
{
  const std::uint64_t restarts = mEntries[aIndex].mRestarts;
  const TaskKey key = aAction.mAssign.mTask.mKey;
  ModelAgent& agent = Find(aAction.mAgent);
  const bool lost = Chance(mRandom, mFaults.mAssignLost);
  const auto arrive = [=, this, &agent] {
    const std::size_t before = agent.mStarted.size();
    const AssignReply reply = agent.Handle(aAction.mAssign, mNow);
    if (agent.mStarted.size() > before) {
      CheckStart(aAction.mAssign.mTask);
    }
    if (reply.mGranted &&
        mStarts.emplace(key, agent.mId).first->second != agent.mId) {
      AddViolation("epoch started on two agents: " + key.mJob.Value());
    }
    if (!lost) {
      After(Delay(100), [=, this] {
        Deliver(aIndex, restarts, AssignDone{ key, reply });
      });
    }
  };
  AfterThaw(agent, Delay(lost ? 40'000 : 100), arrive);
  if (lost) {
    const auto error = WithVerdict(absl::DeadlineExceededError("no answer"),
                                   Verdict::MayHaveRun);
    After(kCallTimeout, [=, this] {
      Deliver(aIndex, restarts, AssignDone{ key, error });
    });
  }
}

void ModelFleet::Execute(std::size_t aIndex, const SendControl& aAction)
{
  ModelAgent& agent = Find(aAction.mAgent);
  const std::uint64_t restarts = mEntries[aIndex].mRestarts;
  AfterThaw(agent, Delay(100), [=, this, &agent] {
    const ControlReply reply = agent.Handle(aAction.mControl);
    Deliver(aIndex, restarts, ControlDone{ aAction.mControl.mKey, reply });
  });
}

void ModelFleet::Execute(std::size_t aIndex, const AcknowledgeTasks& aAction)
{
  auto& keys = mEntries[aIndex].mAcknowledge[aAction.mAgent];
  keys.insert(keys.end(), aAction.mKeys.begin(), aAction.mKeys.end());
}

void ModelFleet::Execute(std::size_t aIndex, const DisownTasks& aAction)
{
  auto& keys = mEntries[aIndex].mDisown[aAction.mAgent];
  keys.insert(keys.end(), aAction.mKeys.begin(), aAction.mKeys.end());
}

void ModelFleet::Execute(std::size_t aIndex, const ReadJob& aAction)
{
  const std::uint64_t restarts = mEntries[aIndex].mRestarts;
  After(Delay(100), [=, this] {
    const auto found = mRecords.find(aAction.mJob);
    if (Chance(mRandom, mFaults.mStoreNotRun)) {
      Deliver(aIndex, restarts, JobReadFailed{ kShard, aAction.mJob });
    } else if (found == mRecords.end()) {
      Deliver(aIndex, restarts, JobMissing{ kShard, aAction.mJob });
    } else {
      const JobEvent read = JobRead{ kShard, found->second };
      After(Delay(100), [=, this] { Deliver(aIndex, restarts, read); });
    }
  });
}

} // namespace foxtailbarrow::test
