#include <malloc.h>

#include <memory>
#include <string>

#include <benchmark/benchmark.h>

#include "src/core/cell/CellScheduler.h"

/// Memory of a cell's owner, in bytes of the heap for each job, waiting
/// occurrence, waiting task and running task.
namespace {

using namespace foxtailbarrow;
using namespace foxtailbarrow::cell;

constexpr std::int64_t kUnixMs = 1'700'000'000'000;
constexpr std::int32_t kMinuteMs = 60'000;

std::int64_t AllocatedBytes()
{
  const auto info = mallinfo2();
  return static_cast<std::int64_t>(info.uordblks + info.hblkhd);
}

/// What the jobs of a cell consist of.
struct Shape
{
  int mJobs = 1;
  std::int32_t mOccurrences = 0;
  std::int32_t mTasks = 1;
  int mWorkers = 0;
};

class Owner
{
public:
  explicit Owner(const Shape& aShape)
    : mScheduler(1, {}, [](const CellDecision&) {})
  {
    QueuePolicy policy;
    policy.mQueue = QueueId("queue");
    policy.mService = ServiceId("service");
    mScheduler.SetQueues({ policy });
    for (int i = 0; i < aShape.mJobs; ++i) {
      AddJob(aShape, i);
    }
    for (int i = 0; i < aShape.mWorkers; ++i) {
      AddWorker(AgentId("agent" + std::to_string(i)));
    }
    mScheduler.Schedule({ mNow, kUnixMs });
    for (int i = 0; i < aShape.mWorkers; ++i) {
      mScheduler.TakeOrders(AgentId("agent" + std::to_string(i)));
    }
  }

private:
  void AddJob(const Shape& aShape, int aNumber)
  {
    StepSpec step;
    step.mReplicas = aShape.mTasks;
    step.mDemand = { 1000, 1000, 0 };
    JobGraph graph;
    graph.mId = JobId("job" + std::to_string(aNumber));
    graph.mQueue = QueueId("queue");
    graph.mSteps = { step };
    graph.mRecurrence = { aShape.mOccurrences, kUnixMs, kMinuteMs };
    mScheduler.AddJob({ graph, kUnixMs, false }, {}, 1, { mNow, kUnixMs });
  }

  void AddWorker(const AgentId& aAgent)
  {
    WorkerState state;
    state.mInfo.mIncarnation = WorkerIncarnation(aAgent.Value());
    state.mInfo.mService = ServiceId("service");
    state.mInfo.mCapacity = { 64'000, 256'000, 0 };
    mScheduler.AttachWorker(
      aAgent, { "127.0.0.1", 1 }, 1, state, { mNow, kUnixMs });
    mScheduler.OnGrant(aAgent, mNow + std::chrono::seconds(3));
  }

  Instant mNow{ std::chrono::hours(1) };
  CellScheduler mScheduler;
};

/// `aUnits`: how many of what is counted the shape has.
void Measure(benchmark::State& aState, const Shape& aShape, double aUnits)
{
  std::int64_t bytes = 0;
  for (auto _ : aState) {
    const std::int64_t before = AllocatedBytes();
    const auto owner = std::make_unique<Owner>(aShape);
    bytes = AllocatedBytes() - before;
  }
  aState.counters["bytes"] = static_cast<double>(bytes) / aUnits;
}

void BytesPerJob(benchmark::State& aState)
{
  constexpr int kJobs = 10'000;
  Measure(aState, { .mJobs = kJobs }, kJobs);
}
BENCHMARK(BytesPerJob)->Iterations(1);

void BytesPerWaitingOccurrence(benchmark::State& aState)
{
  constexpr int kOccurrences = 10'000;
  Measure(aState, { .mOccurrences = kOccurrences, .mTasks = 36 }, kOccurrences);
}
BENCHMARK(BytesPerWaitingOccurrence)->Iterations(1);

void BytesPerWaitingTask(benchmark::State& aState)
{
  constexpr int kTasks = 10'000;
  Measure(aState, { .mTasks = kTasks }, kTasks);
}
BENCHMARK(BytesPerWaitingTask)->Iterations(1);

void BytesPerRunningTask(benchmark::State& aState)
{
  constexpr int kTasks = 9600; // 150 workers of 64 cores.
  Measure(aState, { .mTasks = kTasks, .mWorkers = 150 }, kTasks);
}
BENCHMARK(BytesPerRunningTask)->Iterations(1);

} // namespace

BENCHMARK_MAIN();
