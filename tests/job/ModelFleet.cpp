#include "tests/job/ModelFleet.h"

#include <algorithm>

namespace foxtailbarrow::test {

using namespace std::chrono_literals;

namespace {

constexpr Duration kStoreLease = 4s;
constexpr Duration kValidity = 3s;

} // namespace

ModelFleet::ModelFleet(std::uint64_t aSeed,
                       const Faults& aFaults,
                       const JobSchedulerSettings& aSettings)
  : mRandom(aSeed)
  , mFaults(aFaults)
  , mSettings(aSettings)
  , mEntries(2)
{
  for (int i = 0; i < 4; ++i) {
    mAgents.emplace_back("agent-" + std::to_string(i),
                         Resources{ 4000, 4000, 0 });
  }
  for (Entry& entry : mEntries) {
    entry.mScheduler = std::make_unique<JobScheduler>(mSettings);
  }
}

void ModelFleet::Submit(const JobSpec& aSpec)
{
  StoredJob& job = mRecords[aSpec.mId];
  job.mRecord.mSpec = aSpec;
  job.mRevision = ++mRevision;
  Deliver(mOwner, mEntries[mOwner].mRestarts, JobRead{ kShard, job });
}

void ModelFleet::Cancel(const JobId& aJob)
{
  Deliver(mOwner, mEntries[mOwner].mRestarts, CancelRequested{ aJob });
}

void ModelFleet::Run(Duration aSpan)
{
  for (const Instant end = mNow + aSpan; mNow < end;) {
    Step();
  }
}

void ModelFleet::Step()
{
  mNow += kStep;
  InjectFaults();
  while (!mQueue.empty() && mQueue.begin()->first <= mNow) {
    const auto work = std::move(mQueue.begin()->second);
    mQueue.erase(mQueue.begin());
    work();
  }
  for (ModelAgent& agent : mAgents) {
    agent.StepWorker(mNow, mRandom, mFaults.mTaskFails);
    if (!agent.Frozen(mNow) && Chance(mRandom, 100)) {
      SendHeartbeat(agent);
    }
  }
  for (std::size_t i = 0; i < mEntries.size(); ++i) {
    StepEntry(i);
  }
  CheckPlaces();
}

void ModelFleet::InjectFaults()
{
  ModelAgent& agent = mAgents[mRandom() % mAgents.size()];
  if (Chance(mRandom, mFaults.mAgentFreeze)) {
    agent.mFrozenUntil = mNow + Delay(60'000);
  }
  if (Chance(mRandom, mFaults.mAgentReplace)) {
    agent.Replace();
  }
  if (Chance(mRandom, mFaults.mAgentRestart)) {
    agent.RestartProcess(static_cast<int>(mRandom() % 30));
  }
  if (Chance(mRandom, mFaults.mEvict)) {
    agent.EvictOne(mRandom);
  }
  if (Chance(mRandom, mFaults.mEntryPause)) {
    mEntries[mRandom() % 2].mPausedUntil = mNow + Delay(30'000);
  }
  if (Chance(mRandom, mFaults.mEntryCrash)) {
    Entry& entry = mEntries[mRandom() % 2];
    const std::uint64_t restarts = entry.mRestarts + 1;
    entry = Entry{};
    entry.mRestarts = restarts;
    entry.mScheduler = std::make_unique<JobScheduler>(mSettings);
  }
}

void ModelFleet::StepEntry(std::size_t aIndex)
{
  Entry& entry = mEntries[aIndex];
  if (mNow < entry.mPausedUntil) {
    return;
  }
  // Events received while paused are handled first, as after a real pause.
  for (const JobEvent& event : std::exchange(entry.mInbox, {})) {
    Deliver(aIndex, entry.mRestarts, event);
  }
  if (entry.mGeneration != 0) {
    if (entry.mGeneration == mGeneration && mNow < mStoreLeaseUntil) {
      mStoreLeaseUntil = mNow + kStoreLease;
      entry.mValidUntil = mNow + kValidity;
      RelistJobs(aIndex);
    } else {
      entry.mGeneration = 0;
      Deliver(aIndex, entry.mRestarts, ShardLost{ kShard });
    }
  } else if (mNow >= mStoreLeaseUntil) {
    Acquire(aIndex);
  }
  Deliver(aIndex, entry.mRestarts, Tick{});
}

/// Lists the shard occasionally, since the hints that a job has changed may be
/// lost.
void ModelFleet::RelistJobs(std::size_t aIndex)
{
  if (Chance(mRandom, 10)) {
    for (const auto& [id, job] : mRecords) {
      Deliver(aIndex, mEntries[aIndex].mRestarts, JobRead{ kShard, job });
    }
  }
}

void ModelFleet::Acquire(std::size_t aIndex)
{
  Entry& entry = mEntries[aIndex];
  mOwner = aIndex;
  mStoreLeaseUntil = mNow + kStoreLease;
  entry.mValidUntil = mNow + kValidity;
  entry.mGeneration = mGeneration = ++mRevision;
  ContractsChanged contracts;
  ShardAcquired acquired{ kShard, mGeneration, {} };
  for (const std::string_view name : { "even", "odd" }) {
    Contract contract;
    contract.mCustomer = CustomerId(std::string(name));
    contract.mBatch = { { 100'000, 100'000, 0 }, 100, 1.0 };
    contracts.mChanged.push_back(contract);
  }
  for (const auto& [id, job] : mRecords) {
    acquired.mJobs.push_back(job);
  }
  Deliver(aIndex, entry.mRestarts, contracts);
  Deliver(aIndex, entry.mRestarts, acquired);
}

void ModelFleet::Deliver(std::size_t aIndex,
                         std::uint64_t aRestarts,
                         const JobEvent& aEvent)
{
  Entry& entry = mEntries[aIndex];
  if (entry.mRestarts != aRestarts) {
    return;
  }
  if (mNow < entry.mPausedUntil) {
    entry.mInbox.push_back(aEvent);
    return;
  }
  const auto actions = entry.mScheduler->Handle(aEvent, mNow, mRandom);
  for (const JobAction& action : actions) {
    std::visit([&](const auto& aKind) { Execute(aIndex, aKind); }, action);
  }
}

void ModelFleet::SendHeartbeat(ModelAgent& aAgent)
{
  const Heartbeat heartbeat = aAgent.SendHeartbeat(mNow);
  for (std::size_t i = 0; i < mEntries.size(); ++i) {
    if (!Chance(mRandom, mFaults.mHeartbeatLost)) {
      After(Delay(300), [this, i, restarts = mEntries[i].mRestarts, heartbeat] {
        Deliver(i, restarts, HeartbeatReceived{ heartbeat });
      });
    }
  }
}

void ModelFleet::CheckWrite(const JobRecord& aBefore, const JobRecord& aAfter)
{
  const std::string& job = aBefore.mSpec.mId.Value();
  if (IsFinal(aBefore.mState)) {
    AddViolation("final record changed: " + job);
  }
  const bool assigns =
    aAfter.mEpoch == aBefore.mEpoch + 1 && aAfter.mState == JobState::Assigned;
  if (!assigns && aAfter.mEpoch != aBefore.mEpoch) {
    AddViolation("epoch changed without an assignment: " + job);
  }
  const bool evicted = aAfter.mEvictions != aBefore.mEvictions;
  if (evicted != (aAfter.mCheckpoint != aBefore.mCheckpoint)) {
    AddViolation("eviction without its checkpoint: " + job);
  }
}

void ModelFleet::CheckStart(const TaskStart& aStart)
{
  const JobRecord& record = Record(aStart.mKey.mJob);
  if (record.mEpoch == aStart.mKey.mEpoch &&
      record.mCheckpoint != aStart.mCheckpoint) {
    AddViolation("not resumed from its checkpoint: " +
                 aStart.mKey.mJob.Value());
  }
}

void ModelFleet::CheckAcknowledge(const TaskKey& aKey)
{
  const JobRecord& record = Record(aKey.mJob);
  if (record.mEpoch == aKey.mEpoch && record.mState == JobState::Assigned) {
    AddViolation("acknowledged before it was committed: " + aKey.mJob.Value());
  }
}

int ModelFleet::RunningPlaces(const JobId& aJob) const
{
  int places = 0;
  for (const ModelAgent& agent : mAgents) {
    const auto running = agent.RunningJobs();
    places += static_cast<int>(std::ranges::count(running, aJob));
  }
  return places;
}

void ModelFleet::CheckPlaces()
{
  for (const auto& [id, job] : mRecords) {
    if (RunningPlaces(id) > 1) {
      AddViolation("runs in two places: " + id.Value());
    }
  }
  for (const ModelAgent& agent : mAgents) {
    if (!agent.Reserved().FitsIn(agent.mCapacity)) {
      AddViolation("exceeds its capacity: " + agent.mId.Value());
    }
  }
}

void ModelFleet::PauseOwner(Duration aSpan)
{
  mEntries[mOwner].mPausedUntil = mNow + aSpan;
}

void ModelFleet::FreezeAgentOf(const JobId& aJob, Duration aSpan)
{
  Find(*Record(aJob).mAgent).mFrozenUntil = mNow + aSpan;
}

bool ModelFleet::AllFinal() const
{
  return std::ranges::all_of(mRecords, [](const auto& aJob) {
    return IsFinal(aJob.second.mRecord.mState);
  });
}

void ModelFleet::After(Duration aDelay, std::function<void()> aWork)
{
  mQueue.emplace(mNow + aDelay, std::move(aWork));
}

void ModelFleet::AfterThaw(ModelAgent& aAgent,
                           Duration aDelay,
                           std::function<void()> aWork)
{
  After(aDelay, [this, &aAgent, work = std::move(aWork)]() mutable {
    if (aAgent.Frozen(mNow)) {
      AfterThaw(aAgent, aAgent.mFrozenUntil - mNow, std::move(work));
    } else {
      work();
    }
  });
}

Duration ModelFleet::Delay(int aMaxMs)
{
  return std::chrono::milliseconds(mRandom() %
                                   static_cast<std::uint64_t>(aMaxMs));
}

ModelAgent& ModelFleet::Find(const AgentId& aAgent)
{
  return *std::ranges::find(mAgents, aAgent, &ModelAgent::mId);
}

void ModelFleet::AddViolation(std::string aWhat)
{
  if (std::ranges::find(mViolations, aWhat) == mViolations.end()) {
    mViolations.push_back(std::move(aWhat));
  }
}

} // namespace foxtailbarrow::test
