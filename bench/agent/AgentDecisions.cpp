#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "src/core/agent/CapacityLedger.h"
#include "src/core/agent/IdempotencyRegister.h"
#include "src/core/agent/RequestRegister.h"
#include "src/core/agent/SlotGate.h"
#include "src/core/agent/TaskTable.h"
#include "src/core/colocation/ColocationGuard.h"

/// Costs of the agent's decisions: on the request path by number of threads,
/// and for task control by number of tasks on the worker.
namespace {

using namespace foxtailbarrow;

const Instant kNow{ std::chrono::hours(1) };
const CustomerId kCustomer("c");

void SlotTakeAndRelease(benchmark::State& aState)
{
  static SlotGate sGate({ 1'000, 16 });
  for (auto _ : aState) {
    benchmark::DoNotOptimize(sGate.TryTake());
    sGate.Release(std::chrono::milliseconds(1));
  }
}
BENCHMARK(SlotTakeAndRelease)->Threads(1)->Threads(2)->Threads(4);

void RequestBeginAndFinish(benchmark::State& aState)
{
  static RequestRegister sRequests({}, kNow);
  const std::string prefix =
    "t" + std::to_string(aState.thread_index()) + "-0123456789abcdef0123-";
  std::uint64_t number = 0;
  for (auto _ : aState) {
    const RequestId id(prefix + std::to_string(number++));
    benchmark::DoNotOptimize(sRequests.Begin(id, kNow));
    sRequests.Finish(id, Verdict::Ran, kNow);
  }
}
BENCHMARK(RequestBeginAndFinish)->Threads(1)->Threads(2)->Threads(4);

void KeyBeginAndFinish(benchmark::State& aState)
{
  static IdempotencyRegister sKeys({});
  const std::string prefix = "t" + std::to_string(aState.thread_index()) + "-";
  std::uint64_t number = 0;
  for (auto _ : aState) {
    const IdempotencyKey key{ kCustomer, prefix + std::to_string(number++) };
    benchmark::DoNotOptimize(sKeys.Begin(key, 1, kNow).index());
    sKeys.Finish(
      key, Verdict::Ran, StoredAnswer{ 200, {}, std::string(200, 'x') }, kNow);
  }
}
BENCHMARK(KeyBeginAndFinish)->Threads(1)->Threads(2);

void LatencyRecord(benchmark::State& aState)
{
  static LatencyRecorder sRecorder;
  std::int64_t micros = 100;
  for (auto _ : aState) {
    sRecorder.Add(Duration(micros), 1);
    micros = micros * 7 % 9'973 + 50;
  }
}
BENCHMARK(LatencyRecord)->Threads(1)->Threads(4);

/// A table with `aTasks` running tasks.
class FilledTable
{
public:
  explicit FilledTable(std::int64_t aTasks)
    : mLedger({})
    , mTable(Limits(), 1, mLedger, [](const JobId&) { return ShardId{ 0 }; })
  {
    mView.mCapacity = { 1'000'000'000, 1'000'000'000, 0 };
    mTable.Observe(mView, kNow, kNow);
    mTable.HeartbeatSent(1, kNow);
    for (std::int64_t i = 0; i < aTasks; ++i) {
      mTable.Assign(MakeAssign(i), kNow);
    }
    for (const WorkerCall& call : mTable.Due(kNow)) {
      const TaskStart& start = std::get<CallStart>(call).mStart;
      mTable.StartDone(start.mKey, absl::OkStatus(), kNow);
      TaskStatus status;
      status.mKey = start.mKey;
      status.mCustomer = kCustomer;
      status.mReserved = start.mResources;
      mView.mTasks.push_back(status);
    }
  }

  static Assign MakeAssign(std::int64_t aNumber)
  {
    Assign assign;
    assign.mShard = static_cast<ShardId>(aNumber % 16);
    assign.mGeneration = 1;
    assign.mIncarnation = 1;
    assign.mSequence = 1;
    assign.mTask.mKey = { JobId("customer." + std::to_string(aNumber)), 1 };
    assign.mTask.mCustomer = kCustomer;
    assign.mTask.mResources = { 100, 100, 0 };
    assign.mTask.mLease = std::chrono::seconds(20);
    return assign;
  }

  static TaskTableLimits Limits()
  {
    TaskTableLimits limits;
    limits.mMaxTasks = 1'000'000;
    return limits;
  }

  CapacityLedger mLedger;
  TaskTable mTable;
  WorkerView mView;
};

void PollWorker(benchmark::State& aState)
{
  FilledTable filled(aState.range(0));
  for (auto _ : aState) {
    filled.mTable.Observe(filled.mView, kNow, kNow);
    benchmark::DoNotOptimize(filled.mTable.Due(kNow).size());
    benchmark::DoNotOptimize(filled.mTable.Renewals(kNow).size());
    benchmark::DoNotOptimize(filled.mTable.Reports().size());
  }
}
BENCHMARK(PollWorker)
  ->Name("LookAtTheWorker")
  ->Arg(0)
  ->Arg(22)
  ->Arg(100)
  ->Arg(500);

void AssignTask(benchmark::State& aState)
{
  FilledTable filled(aState.range(0));
  std::int64_t number = aState.range(0);
  for (auto _ : aState) {
    const Assign assign = FilledTable::MakeAssign(number++);
    benchmark::DoNotOptimize(filled.mTable.Assign(assign, kNow).mGranted);
  }
}
BENCHMARK(AssignTask)->Arg(22)->Arg(500)->Iterations(20'000);

void GuardSecond(benchmark::State& aState)
{
  ColocationGuard guard;
  std::vector<ColocatedTask> tasks;
  for (std::int64_t i = 0; i < aState.range(0); ++i) {
    ColocatedTask task;
    task.mKey = { JobId("j" + std::to_string(i)), 1 };
    task.mClass = "class" + std::to_string(i % 8);
    task.mReserved = 0.01;
    tasks.push_back(task);
  }
  LatencyRecorder recorder;
  Instant now = kNow;
  for (auto _ : aState) {
    for (int i = 0; i < 100; ++i) {
      recorder.Add(Duration(10'000 + i), 1);
    }
    now += std::chrono::seconds(1);
    guard.SetTasks(tasks, now);
    guard.OnLatencies(recorder.Take(now));
    benchmark::DoNotOptimize(guard.Advance(now).size());
  }
}
BENCHMARK(GuardSecond)->Arg(0)->Arg(22)->Arg(100);

} // namespace

BENCHMARK_MAIN();
