// Cost of a placement, of a heartbeat and of a complete run, by fleet size.
#include <benchmark/benchmark.h>

#include <malloc.h>

#include <chrono>
#include <random>
#include <string>
#include <vector>

#include "src/core/job/JobScheduler.h"
#include "src/core/job/ShardOf.h"

namespace foxtailbarrow {
namespace {

using namespace std::chrono_literals;

constexpr Resources kCapacity{ 64'000, 250'000, 0 };
constexpr Resources kTaskSize{ 2'500, 8'000, 0 };
constexpr int kTasksPerWorker = 22; // 133,000 tasks on 6,100 workers.
constexpr Instant kStart{ 1000s };

CustomerId CustomerOf(int aNumber)
{
  return CustomerId("customer-" + std::to_string(aNumber % 42));
}

Heartbeat HeartbeatOf(int aWorker, std::uint64_t aSequence)
{
  Heartbeat heartbeat;
  heartbeat.mAgent = AgentId("agent-" + std::to_string(aWorker));
  heartbeat.mIncarnation = 1;
  heartbeat.mSequence = aSequence;
  heartbeat.mRack = RackId("rack-" + std::to_string(aWorker / 3));
  heartbeat.mFailureDomain =
    FailureDomainId("domain-" + std::to_string(aWorker % 13));
  heartbeat.mState = ServingState::Serving;
  heartbeat.mLoad.mCapacity = kCapacity;
  return heartbeat;
}

/// Adds workers that are between 25 % and 100 % full, as in a busy fleet.
void Fill(WorkerIndex& aIndex, int aWorkers)
{
  std::mt19937_64 random(1);
  for (int i = 0; i < aWorkers; ++i) {
    Heartbeat heartbeat = HeartbeatOf(i, 1);
    const auto part = static_cast<std::int64_t>(random() % 76 + 25);
    heartbeat.mLoad.mReserved = { kCapacity.mMillicores * part / 100,
                                  kCapacity.mMemoryMb * part / 100,
                                  0 };
    aIndex.Update(heartbeat, kStart);
  }
}

void ChooseWorker(benchmark::State& aState)
{
  WorkerIndex index;
  Fill(index, static_cast<int>(aState.range(0)));
  const PlacementLoad load;
  const Placer placer;
  std::mt19937_64 random(2);
  PlacementRequest request;
  request.mCustomer = CustomerOf(1);
  request.mSize = kTaskSize;
  for (auto _ : aState) {
    benchmark::DoNotOptimize(placer.Choose(request, index, load, random));
  }
  aState.counters["bytes/worker"] = static_cast<double>(index.MemoryBytes()) /
                                    static_cast<double>(aState.range(0));
}
BENCHMARK(ChooseWorker)->Arg(11)->Arg(100)->Arg(1'000)->Arg(6'100);

/// A scheduler that owns one shard in which every worker has 22 tasks.
class BusyScheduler
{
public:
  explicit BusyScheduler(int aWorkers)
    : mWorkers(aWorkers)
  {
    ContractsChanged contracts;
    for (int i = 0; i < 42; ++i) {
      Contract contract;
      contract.mCustomer = CustomerOf(i);
      contract.mTeam = TeamId("team-" + std::to_string(i));
      contract.mBatch = { { 1LL << 50, 1LL << 50, 0 }, 1 << 30, 1.0 };
      contracts.mChanged.push_back(contract);
    }
    HandleEvent(contracts);
    ShardAcquired acquired{ 0, 1, {} };
    for (int i = 0; i < aWorkers * kTasksPerWorker; ++i) {
      acquired.mJobs.push_back({ RecordOf(i), 1 });
    }
    HandleEvent(acquired);
  }

  JobRecord RecordOf(int aNumber) const
  {
    JobRecord record;
    record.mSpec.mCustomer = CustomerOf(aNumber);
    record.mSpec.mId =
      JobIdFor(record.mSpec.mCustomer, "job-" + std::to_string(aNumber));
    record.mSpec.mDeclared = kTaskSize;
    record.mSpec.mProgram = "deduction-report";
    record.mSpec.mArguments = "--month=2026-11";
    record.mState = JobState::Assigned;
    record.mEpoch = 1;
    record.mAgent = AgentId("agent-" + std::to_string(aNumber % mWorkers));
    return record;
  }

  void PrepareHeartbeat(int aWorker)
  {
    Heartbeat heartbeat = HeartbeatOf(aWorker, ++mSequence);
    heartbeat.mLoad.mReserved = { kTaskSize.mMillicores * kTasksPerWorker,
                                  kTaskSize.mMemoryMb * kTasksPerWorker,
                                  0 };
    for (int i = 0; i < kTasksPerWorker; ++i) {
      const int job = aWorker + i * mWorkers;
      TaskReport report;
      report.mStatus.mKey = {
        JobIdFor(CustomerOf(job), "job-" + std::to_string(job)), 1
      };
      report.mStatus.mReserved = kTaskSize;
      heartbeat.mTasks.push_back(std::move(report));
    }
    mPrepared = { std::move(heartbeat) };
  }

  void DeliverHeartbeat()
  {
    HandleEvent(mPrepared);
    HandleEvent(HeartbeatReplySent{
      mPrepared.mHeartbeat.mAgent, 1, mSequence, mNow + 20s });
  }

  JobScheduler::Actions HandleEvent(const JobEvent& aEvent)
  {
    return mScheduler.Handle(aEvent, mNow, mRandom);
  }

  Instant mNow = kStart;

private:
  int mWorkers;
  std::uint64_t mSequence = 0;
  HeartbeatReceived mPrepared;
  std::mt19937_64 mRandom{ 3 };
  JobScheduler mScheduler;
};

std::size_t HeapInUse()
{
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

void HandleHeartbeat(benchmark::State& aState)
{
  const int workers = static_cast<int>(aState.range(0));
  const std::size_t before = HeapInUse();
  BusyScheduler scheduler(workers);
  for (int i = 0; i < workers; ++i) {
    scheduler.PrepareHeartbeat(i);
    scheduler.DeliverHeartbeat();
  }
  aState.counters["bytes/task"] =
    static_cast<double>(HeapInUse() - before) / (workers * kTasksPerWorker);
  int worker = 0;
  for (auto _ : aState) {
    aState.PauseTiming();
    scheduler.PrepareHeartbeat(worker);
    worker = (worker + 1) % workers;
    aState.ResumeTiming();
    scheduler.DeliverHeartbeat();
  }
}
BENCHMARK(HandleHeartbeat)
  ->Name("TakeHeartbeat")
  ->Arg(11)
  ->Arg(100)
  ->Arg(1'000)
  ->Arg(6'100);

/// Runs jobs from submission through placement, commit and grant to their
/// recorded end, without I/O.
void WholeRun(benchmark::State& aState)
{
  const int workers = static_cast<int>(aState.range(0));
  BusyScheduler scheduler(workers);
  for (int i = 0; i < workers; ++i) {
    scheduler.PrepareHeartbeat(i);
    scheduler.DeliverHeartbeat();
  }
  int number = workers * kTasksPerWorker;
  std::int64_t runs = 0;
  constexpr int kBatch = 100;
  for (auto _ : aState) {
    for (int i = 0; i < kBatch; ++i) {
      JobRecord record = scheduler.RecordOf(number++);
      record.mState = JobState::Queued;
      record.mEpoch = 0;
      record.mAgent.reset();
      scheduler.HandleEvent(JobRead{ 0, { std::move(record), 1 } });
    }
    scheduler.mNow += 100us;
    std::vector<JobAction> pending = scheduler.HandleEvent(Tick{});
    while (!pending.empty()) {
      std::vector<JobAction> next;
      for (const JobAction& action : pending) {
        JobScheduler::Actions actions;
        if (const auto* commit = std::get_if<CommitRecord>(&action)) {
          runs += commit->mRecord.mState == JobState::Finished ? 1 : 0;
          actions = scheduler.HandleEvent(CommitDone{
            commit->mToken, CommitOutcome::Applied, commit->mExpected + 1 });
        } else if (const auto* sent = std::get_if<SendAssign>(&action)) {
          const TaskKey key = sent->mAssign.mTask.mKey;
          AssignReply granted;
          granted.mGranted = true;
          scheduler.HandleEvent(AssignDone{ key, granted });
          ControlReply ended;
          ended.mStatus.mKey = key;
          ended.mStatus.mState = TaskState::Finished;
          ended.mStatus.mReserved = kTaskSize;
          actions = scheduler.HandleEvent(ControlDone{ key, ended });
        }
        next.insert(next.end(), actions.begin(), actions.end());
      }
      pending = std::move(next);
    }
  }
  aState.counters["starts/s/core"] =
    benchmark::Counter(static_cast<double>(runs), benchmark::Counter::kIsRate);
  aState.SetItemsProcessed(runs);
}
BENCHMARK(WholeRun)->Arg(11)->Arg(100)->Arg(1'000)->Arg(6'100);

} // namespace
} // namespace foxtailbarrow

BENCHMARK_MAIN();
