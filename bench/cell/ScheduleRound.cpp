#include <benchmark/benchmark.h>

#include <memory>
#include <string>

#include "src/core/cell/CellScheduler.h"

/// Cost of a scheduling round in a full cell, by number of workers. Each worker
/// runs four serving tasks of two images and best-effort tasks up to its
/// capacity. One best-effort job of twenty tasks per worker is queued.
namespace {

using namespace foxtailbarrow;
using namespace foxtailbarrow::cell;
using std::chrono::seconds;

constexpr int kServingImages = 5;
constexpr int kBestEffortImages = 9;
constexpr int kServingPerWorker = 4;
constexpr int kTasksPerJob = 20;

class EmptyCell
{
public:
  explicit EmptyCell(int aWorkers)
    : mScheduler(1, {}, [](const CellDecision&) {})
  {
    QueuePolicy policy;
    policy.mQueue = QueueId("queue");
    policy.mService = ServiceId("service");
    policy.mAllowance = seconds(10);
    mScheduler.SetQueues({ policy });
    for (int i = 0; i < aWorkers; ++i) {
      Attach(AgentId("agent" + std::to_string(i)));
    }
  }

  /// Schedules 5 ms after the previous round.
  void Round()
  {
    mNow += std::chrono::milliseconds(5);
    mScheduler.Schedule({ mNow, 0 });
  }

  /// Adds jobs of one step of forty short tasks.
  void AddWideSteps(int aSteps)
  {
    constexpr int kWideStep = 40;
    StepSpec step;
    step.mReplicas = kWideStep;
    step.mDemand = { 2'800, 4'000, 0 };
    step.mEstimate = seconds(1);
    for (int i = 0; i < aSteps; ++i) {
      Add(i, step);
    }
  }

protected:
  void Add(int aId, StepSpec aStep)
  {
    JobGraph graph;
    graph.mId = JobId("job" + std::to_string(aId));
    graph.mQueue = QueueId("queue");
    graph.mSteps = { std::move(aStep) };
    mScheduler.AddJob({ graph, 0, false }, {}, 0, { mNow, 0 });
    for (const UnsavedProgress& job : mScheduler.UnsavedJobs(1)) {
      mScheduler.OnProgressSaved(job.mJob, job.mVersion, 1);
    }
  }

  Instant mNow{ std::chrono::hours(1) };
  CellScheduler mScheduler;

private:
  void Attach(const AgentId& aAgent)
  {
    WorkerState state;
    state.mInfo.mIncarnation = WorkerIncarnation(aAgent.Value());
    state.mInfo.mService = ServiceId("service");
    state.mInfo.mCapacity = { 64'000, 256'000, 0 };
    mScheduler.AttachWorker(
      aAgent, { "127.0.0.1", 1 }, 256, state, { mNow, 0 });
    mScheduler.OnGrant(aAgent, mNow + std::chrono::hours(1));
  }
};

class FullCell : public EmptyCell
{
public:
  explicit FullCell(int aWorkers)
    : EmptyCell(aWorkers)
  {
    for (int i = 0; i < aWorkers * kServingPerWorker / kTasksPerJob; ++i) {
      Add(i, Serving(i % kServingImages));
    }
    for (int i = 0; i < aWorkers; ++i) {
      Add(aWorkers + i, BestEffort(i % kBestEffortImages));
    }
    Round();
    ReportPerformance();
  }

private:
  static StepSpec Serving(int aImage)
  {
    StepSpec step;
    step.mReplicas = kTasksPerJob;
    step.mDemand = { 13'000, 26'000, 0 };
    step.mStanding = true;
    step.mImage = "s" + std::to_string(aImage);
    step.mLatencyTarget = std::chrono::milliseconds(18);
    return step;
  }

  static StepSpec BestEffort(int aImage)
  {
    StepSpec step;
    step.mReplicas = kTasksPerJob;
    step.mDemand = { 7'000, 13'000, 0 };
    step.mBestEffort = true;
    step.mCheckpoints = true;
    step.mImage = "l" + std::to_string(aImage);
    step.mEstimate = seconds(2);
    return step;
  }

  /// Reports performance of all placed tasks, so that pairs of images have
  /// interference weights.
  void ReportPerformance()
  {
    for (const auto& [agent, worker] : mScheduler.Workers()) {
      ReportRequest report;
      report.mAgent = agent;
      report.mSession = worker.mSession;
      report.mSequence = 1;
      report.mState.mInfo = worker.mInfo;
      for (const auto& [task, run] : worker.mRuns) {
        const StepSpec& spec = mScheduler.Jobs().at(task.mJob).Spec(task);
        constexpr std::int64_t kPerformance = 2000;
        report.mState.mRunning.push_back(
          { task,
            run,
            {},
            100,
            spec.mBestEffort ? kPerformance : kPerformance / 200 });
      }
      mReports.push_back(std::move(report));
    }
    for (const ReportRequest& report : mReports) {
      mScheduler.HandleReport(report, { mNow, 0 });
    }
  }

  std::vector<ReportRequest> mReports;
};

void RoundInAFullCell(benchmark::State& aState)
{
  FullCell cell(static_cast<int>(aState.range(0)));
  for (auto _ : aState) {
    cell.Round();
  }
}
BENCHMARK(RoundInAFullCell)
  ->Arg(11)
  ->Arg(64)
  ->Arg(160)
  ->Arg(320)
  ->Arg(800)
  ->Arg(1600)
  ->Arg(6100)
  ->Unit(benchmark::kMicrosecond);

/// The round in which twenty steps of forty short tasks are released together.
void RoundThatPlacesWideSteps(benchmark::State& aState)
{
  constexpr int kSteps = 20;
  for (auto _ : aState) {
    aState.PauseTiming();
    auto cell = std::make_unique<EmptyCell>(static_cast<int>(aState.range(0)));
    cell->AddWideSteps(kSteps);
    aState.ResumeTiming();
    cell->Round();
    aState.PauseTiming();
    cell.reset();
    aState.ResumeTiming();
  }
}
BENCHMARK(RoundThatPlacesWideSteps)
  ->Arg(800)
  ->Arg(1600)
  ->Arg(6100)
  ->Unit(benchmark::kMicrosecond);

} // namespace

BENCHMARK_MAIN();
