#pragma once

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "bench/placement/TrialModel.h"
#include "src/core/job/JobScheduler.h"
#include "src/core/job/ShardOf.h"

namespace foxtailbarrow::bench {

/// Simulates one variant in one scenario with one seed, in virtual time.
class Trial
{
public:
  Trial(const Variant& aVariant, const Scenario& aScenario, std::uint64_t aSeed)
    : mScenario(aScenario)
    , mRandom(aSeed)
    , mScheduler(SettingsOf(aVariant))
    , mWorkers(kWorkers)
  {
    ContractsChanged contracts;
    for (const char* name : { "batch-a", "batch-b", "urgent" }) {
      Contract contract;
      contract.mCustomer = CustomerId(name);
      contract.mTeam = TeamId(name);
      contract.mBatch = { { 1LL << 40, 1LL << 40, 0 }, 1 << 20, 1.0 };
      contract.mUrgentAllowed = aVariant.mPreempt;
      contracts.mChanged.push_back(contract);
    }
    HandleEvent(contracts);
    HandleEvent(ShardAcquired{ 0, 1, {} });
  }

  Outcome Run()
  {
    const Instant end = mNow + kLength;
    while (mNow < end) {
      mNow += kStep;
      SubmitJobs();
      InjectFaults();
      for (int i = 0; i < kWorkers; ++i) {
        StepWorker(i);
      }
      HandleEvent(Tick{});
    }
    return Summarize();
  }

private:
  static JobSchedulerSettings SettingsOf(const Variant& aVariant)
  {
    JobSchedulerSettings settings;
    settings.mPolicy = aVariant.mPolicy;
    settings.mLearnSizes = aVariant.mLearnSizes;
    settings.mAttemptsLimit = 20;
    return settings;
  }

  /// Submits batch work for about 130 % of the fleet and, on average, one
  /// urgent job every 20 s.
  void SubmitJobs()
  {
    std::poisson_distribution<int> batch(0.135);
    for (int i = batch(mRandom); i > 0; --i) {
      Submit(false);
    }
    if (mRandom() % 200 == 0) {
      Submit(true);
    }
  }

  void Submit(bool aUrgent)
  {
    const int program = static_cast<int>(mRandom() % 12);
    const CustomerId customer(aUrgent            ? "urgent"
                              : program % 2 == 0 ? "batch-a"
                                                 : "batch-b");
    JobRecord record;
    record.mSpec.mId = JobIdFor(customer, std::to_string(++mJobs));
    record.mSpec.mCustomer = customer;
    record.mSpec.mProgram = std::to_string(program);
    record.mSpec.mPriority =
      aUrgent ? JobPriority::Urgent : JobPriority::Normal;
    ActualJob actual;
    const std::int64_t cores = 1 + program % 6;
    actual.mSize = { cores * 1000, (2 + program % 5) * 4000 * cores / 3, 0 };
    actual.mWork = std::chrono::seconds(60 + mRandom() % 240);
    actual.mUrgent = aUrgent;
    actual.mSubmitted = mNow;
    constexpr std::array kErrors{ 0.1, 0.3, 1.0, 3.0, 10.0 };
    const double error = mScenario.mSizesWrong
                           ? kErrors[static_cast<std::size_t>(program) % 5]
                           : 1.0;
    record.mSpec.mDeclared = {
      std::min<std::int64_t>(Scale(actual.mSize.mMillicores, error), 60'000),
      std::min<std::int64_t>(Scale(actual.mSize.mMemoryMb, error), 200'000),
      0
    };
    mActualJobs[record.mSpec.mId] = actual;
    HandleEvent(JobRead{ 0, { record, 1 } });
  }

  static std::int64_t Scale(std::int64_t aAmount, double aFactor)
  {
    return static_cast<std::int64_t>(static_cast<double>(aAmount) * aFactor);
  }

  void InjectFaults()
  {
    const Duration elapsed = mNow - kBegin;
    const bool noisy =
      mScenario.mNoisyWave && elapsed > 10min && elapsed < 15min;
    for (int i = 0; i < 4; ++i) {
      mWorkers[static_cast<std::size_t>(i)].mLost =
        noisy ? Resources{ 21'000, 80'000, 0 } : Resources{};
    }
    if (mScenario.mRackFails && elapsed == 10min) {
      for (int i = 0; i < 3; ++i) {
        ModelWorker& worker = mWorkers[static_cast<std::size_t>(i)];
        for (const auto& [key, task] : worker.mTasks) {
          RecordWaste(key, task.mDone - task.mFrom);
        }
        worker = ModelWorker{};
        worker.mIncarnation = 2;
        worker.mDownUntil = mNow + 5min;
      }
    }
  }

  void StepWorker(int aWorker)
  {
    ModelWorker& worker = mWorkers[static_cast<std::size_t>(aWorker)];
    if (mNow < worker.mDownUntil) {
      return;
    }
    std::vector<UsageSample> usage;
    for (auto& [key, task] : worker.mTasks) {
      AdvanceTask(key, task);
      const ActualJob& actual = mActualJobs.at(key.mJob);
      UsageSample sample;
      sample.mKey = key;
      sample.mUsed = {
        std::min(actual.mSize.mMillicores, task.mStatus.mReserved.mMillicores),
        std::min(actual.mSize.mMemoryMb, task.mStatus.mReserved.mMemoryMb),
        0
      };
      usage.push_back(sample);
    }
    if ((mNow - kBegin) % 1s == Duration::zero()) {
      SendHeartbeat(aWorker, worker, std::move(usage));
    }
  }

  void AdvanceTask(const TaskKey& aKey, ModelTask& aTask)
  {
    if (aTask.mStatus.mState != TaskState::Running) {
      return;
    }
    const ActualJob& actual = mActualJobs.at(aKey.mJob);
    const Resources& held = aTask.mStatus.mReserved;
    const Duration run = aTask.mDone - aTask.mFrom;
    if (actual.mSize.mMemoryMb > held.mMemoryMb && run > 10s) {
      aTask.mStatus.mState = TaskState::Failed;
      aTask.mStatus.mReason = "memory-overrun";
      RecordWaste(aKey, run);
      return;
    }
    // A task with too few processors slows down proportionally.
    const double speed =
      std::min(1.0,
               static_cast<double>(held.mMillicores) /
                 static_cast<double>(actual.mSize.mMillicores));
    aTask.mDone += std::chrono::duration_cast<Duration>(kStep * speed);
    if (aTask.mDone >= actual.mWork) {
      aTask.mStatus.mState = TaskState::Finished;
      mOutcome.mFinishedCoreHours += CoreHours(aKey, actual.mWork);
    }
  }

  double CoreHours(const TaskKey& aKey, Duration aSpan) const
  {
    const Resources& size = mActualJobs.at(aKey.mJob).mSize;
    return static_cast<double>(size.mMillicores) / 1000.0 *
           std::chrono::duration<double, std::ratio<3600>>(aSpan).count();
  }

  void RecordWaste(const TaskKey& aKey, Duration aSpan)
  {
    mOutcome.mWastedCoreHours += CoreHours(aKey, aSpan);
  }

  void SendHeartbeat(int aWorker,
                     ModelWorker& aModel,
                     std::vector<UsageSample> aUsage)
  {
    Heartbeat heartbeat;
    heartbeat.mAgent = AgentId(std::to_string(aWorker));
    heartbeat.mIncarnation = aModel.mIncarnation;
    heartbeat.mSequence = ++aModel.mSequence;
    heartbeat.mRack = RackId(std::to_string(aWorker / 3));
    heartbeat.mState = ServingState::Serving;
    heartbeat.mLoad.mCapacity = kCapacity;
    heartbeat.mLoad.mReserved = aModel.Reserved();
    heartbeat.mUsage = std::move(aUsage);
    for (const auto& [key, task] : aModel.mTasks) {
      heartbeat.mTasks.push_back({ 0, task.mStatus });
    }
    const std::uint64_t sequence = aModel.mSequence;
    HandleEvent(HeartbeatReceived{ heartbeat });
    HandleEvent(HeartbeatReplySent{
      heartbeat.mAgent, heartbeat.mIncarnation, sequence, mNow + 20s });
  }

  void HandleEvent(const JobEvent& aEvent)
  {
    for (const JobAction& action : mScheduler.Handle(aEvent, mNow, mRandom)) {
      std::visit([this](const auto& aAct) { Perform(aAct); }, action);
    }
  }

  void Perform(const CommitRecord& aAction)
  {
    mOutcome.mEvictions += aAction.mRecord.mState == JobState::Suspended;
    HandleEvent(CommitDone{
      aAction.mToken, CommitOutcome::Applied, aAction.mExpected + 1 });
  }

  void Perform(const SendAssign& aAction)
  {
    const TaskStart& start = aAction.mAssign.mTask;
    ModelWorker& worker = WorkerOf(aAction.mAgent);
    if (mNow < worker.mDownUntil) {
      HandleEvent(
        AssignDone{ start.mKey,
                    WithVerdict(absl::DeadlineExceededError("no answer"),
                                Verdict::MayHaveRun) });
      return;
    }
    AssignReply reply;
    const Resources free = kCapacity - worker.Reserved();
    reply.mGranted = start.mResources.FitsIn(free);
    reply.mFree = free;
    reply.mReason = reply.mGranted ? Reason::None : Reason::CapacityTaken;
    if (reply.mGranted) {
      ActualJob& actual = mActualJobs.at(start.mKey.mJob);
      ModelTask& task = worker.mTasks[start.mKey];
      task.mStatus.mKey = start.mKey;
      task.mStatus.mReserved = start.mResources;
      task.mFrom = task.mDone = actual.mDone;
      RecordStart(actual);
    }
    HandleEvent(AssignDone{ start.mKey, reply });
  }

  void RecordStart(ActualJob& aJob)
  {
    if (aJob.mUrgent && !std::exchange(aJob.mStarted, true)) {
      mUrgentWaits.push_back(WaitOf(aJob));
    }
  }

  double WaitOf(const ActualJob& aJob) const
  {
    // Adds the round trips of commit and Assign, which are not simulated.
    return std::chrono::duration<double>(mNow - aJob.mSubmitted).count() +
           4.0 * mScenario.mNetworkMs / 1000.0;
  }

  void Perform(const SendControl& aAction)
  {
    ModelWorker& worker = WorkerOf(aAction.mAgent);
    const auto found = worker.mTasks.find(aAction.mControl.mKey);
    if (mNow < worker.mDownUntil || found == worker.mTasks.end() ||
        found->second.mStatus.mState != TaskState::Running) {
      return;
    }
    ModelTask& task = found->second;
    task.mStatus.mState = TaskState::Checkpointed;
    task.mStatus.mCheckpoint =
      "epoch-" + std::to_string(task.mStatus.mKey.mEpoch);
    mActualJobs.at(task.mStatus.mKey.mJob).mDone = task.mDone;
  }

  void Perform(const AcknowledgeTasks& aAction)
  {
    for (const TaskKey& key : aAction.mKeys) {
      WorkerOf(aAction.mAgent).mTasks.erase(key);
    }
  }

  void Perform(const DisownTasks& aAction)
  {
    for (const TaskKey& key : aAction.mKeys) {
      WorkerOf(aAction.mAgent).mTasks.erase(key);
    }
  }

  void Perform(const ExtendLeases&) {}
  void Perform(const ReadJob&) {}

  ModelWorker& WorkerOf(const AgentId& aAgent)
  {
    return mWorkers[std::stoul(aAgent.Value())];
  }

  Outcome Summarize()
  {
    for (const auto& [job, actual] : mActualJobs) {
      if (actual.mUrgent && !actual.mStarted) {
        mUrgentWaits.push_back(WaitOf(actual));
      }
    }
    std::ranges::sort(mUrgentWaits);
    if (!mUrgentWaits.empty()) {
      const std::size_t count = mUrgentWaits.size();
      mOutcome.mUrgentP99 = mUrgentWaits[(count - 1) * 99 / 100];
      const auto late = std::ranges::count_if(
        mUrgentWaits, [](double aWait) { return aWait > 7.1; });
      mOutcome.mUrgentLate =
        static_cast<double>(late) / static_cast<double>(count);
    }
    return mOutcome;
  }

  static constexpr Instant kBegin{ 1000s };

  Scenario mScenario;
  Random mRandom;
  Instant mNow = kBegin;
  JobScheduler mScheduler;
  std::vector<ModelWorker> mWorkers;
  std::map<JobId, ActualJob> mActualJobs;
  std::vector<double> mUrgentWaits;
  Outcome mOutcome;
  int mJobs = 0;
};

} // namespace foxtailbarrow::bench
