// Encoding and decoding cost and size of a heartbeat, by number of tasks on the
// worker. 22 is the mean at the target size of 133,000 tasks on 6,100 workers.

#include <string>

#include <benchmark/benchmark.h>

#include "foxtailbarrow/Messages.h"
#include "src/core/message/Codec.h"

namespace foxtailbarrow {
namespace {

Heartbeat HeartbeatOf(std::int64_t aTasks)
{
  Heartbeat heartbeat;
  heartbeat.mAgent = AgentId("agent-3-17");
  heartbeat.mIncarnation = 1'764'691'200'000'000;
  heartbeat.mSequence = 86'400;
  heartbeat.mEndpoint = { "10.3.0.17", 8080 };
  heartbeat.mService = ServiceId("mileage-log");
  heartbeat.mRack = RackId("rack-5");
  heartbeat.mFailureDomain = FailureDomainId("domain-3");
  heartbeat.mState = ServingState::Serving;
  heartbeat.mLoad = { 8, 5, 2, { 64'000, 256'000, 0 }, { 48'000, 190'000, 0 } };
  heartbeat.mConfiguration = 1'234'567;
  for (std::int64_t i = 0; i < aTasks; ++i) {
    TaskReport report;
    report.mShard = static_cast<ShardId>(i * 7 % 64);
    report.mStatus.mKey = { JobId("deduction-report-" + std::to_string(i)), 2 };
    report.mStatus.mCustomer = CustomerId("customer-" + std::to_string(i % 9));
    report.mStatus.mReserved = { 2'000, 8'000, 0 };
    heartbeat.mTasks.push_back(report);
  }
  return heartbeat;
}

void Write(benchmark::State& aState)
{
  const Heartbeat heartbeat = HeartbeatOf(aState.range(0));
  std::size_t bytes = 0;
  for (auto _ : aState) {
    bytes = ToJsonText(heartbeat).size();
    benchmark::DoNotOptimize(bytes);
  }
  aState.counters["bytes"] = static_cast<double>(bytes);
}

void Read(benchmark::State& aState)
{
  const std::string text = ToJsonText(HeartbeatOf(aState.range(0)));
  for (auto _ : aState) {
    const auto heartbeat = FromJsonText<Heartbeat>(text);
    if (!heartbeat.ok()) {
      aState.SkipWithError("cannot parse the heartbeat");
      return;
    }
    benchmark::DoNotOptimize(heartbeat->mSequence);
  }
}

/// The part of Read() spent in the JSON library.
void Parse(benchmark::State& aState)
{
  const std::string text = ToJsonText(HeartbeatOf(aState.range(0)));
  for (auto _ : aState) {
    benchmark::DoNotOptimize(ParseJson(text)->size());
  }
}

BENCHMARK(Parse)->ArgName("tasks")->Arg(0)->Arg(8)->Arg(22)->Arg(64);
BENCHMARK(Write)->ArgName("tasks")->Arg(0)->Arg(8)->Arg(22)->Arg(64);
BENCHMARK(Read)->ArgName("tasks")->Arg(0)->Arg(8)->Arg(22)->Arg(64);

} // namespace
} // namespace foxtailbarrow

BENCHMARK_MAIN();
