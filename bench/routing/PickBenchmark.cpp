// Cost of a pick and of membership updates, by number of agents of one service.
// Also reports the memory per agent.

#include <memory>
#include <random>
#include <string>
#include <vector>

#include <benchmark/benchmark.h>
#include <malloc.h>

#include "src/core/base/Snapshot.h"
#include "src/core/membership/AgentDirectory.h"
#include "src/core/routing/OutlierDetector.h"
#include "src/core/routing/Router.h"

namespace foxtailbarrow {
namespace {

constexpr Instant kStart{ std::chrono::hours(1) };
constexpr Instant kWarm = kStart + std::chrono::seconds(60);
constexpr int kDomains = 13;
const ServiceId kService("trips");

Heartbeat HeartbeatOf(int aNumber, std::uint64_t aSequence = 1)
{
  const std::string number = std::to_string(aNumber);
  Heartbeat heartbeat;
  heartbeat.mAgent = AgentId("agent-" + number);
  heartbeat.mIncarnation = 1;
  heartbeat.mSequence = aSequence;
  heartbeat.mEndpoint = { "10.0." + std::to_string(aNumber / 250) + "." +
                            std::to_string(aNumber % 250),
                          8080 };
  heartbeat.mService = kService;
  heartbeat.mRack = RackId("rack-" + std::to_string(aNumber / 3));
  heartbeat.mFailureDomain =
    FailureDomainId("domain-" + std::to_string(aNumber / 3 % kDomains));
  heartbeat.mState = ServingState::Serving;
  heartbeat.mLoad.mSlots = 8;
  heartbeat.mLoad.mSlotsInUse = aNumber % 8;
  return heartbeat;
}

std::unique_ptr<AgentDirectory> DirectoryOf(int aCount)
{
  auto directory = std::make_unique<AgentDirectory>();
  for (int i = 0; i < aCount; ++i) {
    directory->Apply(HeartbeatOf(i), kStart);
  }
  return directory;
}

RoutingPolicy PolicyOf(std::int64_t aIndex)
{
  switch (aIndex) {
    case 0:
      return LeastLoadedPick();
    case 1:
      return RandomPick();
    default:
      return RoundRobinPick();
  }
}

void BM_Pick(benchmark::State& aState)
{
  const auto directory = DirectoryOf(static_cast<int>(aState.range(0)));
  const Router router(FailureDomainId("domain-0"), PolicyOf(aState.range(1)));
  const Snapshot<RoutingTable> tables(directory->Table());
  PickRequest request;
  request.mService = kService;
  std::mt19937_64 random(1);
  for (auto unused : aState) {
    benchmark::DoNotOptimize(
      router.Pick(tables.Load(), request, kWarm, random));
  }
}
BENCHMARK(BM_Pick)->ArgsProduct({ { 11, 100, 1000, 6100 }, { 0, 1, 2 } });

/// Picks and updates in-flight counts on several threads concurrently.
void BM_PickThreads(benchmark::State& aState)
{
  static const auto sDirectory = DirectoryOf(11);
  static const Snapshot<RoutingTable> sTables(sDirectory->Table());
  static const Router sRouter(FailureDomainId("domain-0"));
  PickRequest request;
  request.mService = kService;
  std::mt19937_64 random(static_cast<unsigned>(aState.thread_index()));
  for (auto unused : aState) {
    const auto choice = sRouter.Pick(sTables.Load(), request, kWarm, random);
    const auto& picked = std::get<Picked>(choice);
    picked.mAgent->mRoutingState->mLoad.Start();
    picked.mAgent->mRoutingState->mLoad.End();
  }
}
BENCHMARK(BM_PickThreads)->Threads(1)->Threads(2)->Threads(4);

void BM_PickAllFull(benchmark::State& aState)
{
  const auto count = static_cast<int>(aState.range(0));
  const auto directory = DirectoryOf(count);
  for (int i = 0; i < count; ++i) {
    directory->Find(HeartbeatOf(i).mAgent)
      ->mRoutingState->mLoad.Report({ 8, 8, 16 }, kWarm);
  }
  const Router router(FailureDomainId("domain-0"));
  const Snapshot<RoutingTable> tables(directory->Table());
  PickRequest request;
  request.mService = kService;
  std::mt19937_64 random(1);
  for (auto unused : aState) {
    benchmark::DoNotOptimize(
      router.Pick(tables.Load(), request, kWarm, random));
  }
}
BENCHMARK(BM_PickAllFull)->Arg(11)->Arg(100)->Arg(1000)->Arg(6100);

void BM_PickKeyed(benchmark::State& aState)
{
  const auto directory = DirectoryOf(static_cast<int>(aState.range(0)));
  const Router router(FailureDomainId("domain-0"));
  const Snapshot<RoutingTable> tables(directory->Table());
  const std::string keys[] = { "one", "two", "three", "four" };
  PickRequest request;
  request.mService = kService;
  std::mt19937_64 random(1);
  std::size_t next = 0;
  for (auto unused : aState) {
    request.mIdempotencyKey = keys[next++ % std::size(keys)];
    benchmark::DoNotOptimize(
      router.Pick(tables.Load(), request, kWarm, random));
  }
}
BENCHMARK(BM_PickKeyed)->Arg(11)->Arg(100)->Arg(1000)->Arg(6100);

/// Applies heartbeats that change only the load.
void BM_Heartbeat(benchmark::State& aState)
{
  const auto count = static_cast<int>(aState.range(0));
  const auto directory = DirectoryOf(count);
  std::vector<Heartbeat> heartbeats;
  for (int i = 0; i < count; ++i) {
    heartbeats.push_back(HeartbeatOf(i));
  }
  std::size_t next = 0;
  for (auto unused : aState) {
    Heartbeat& heartbeat = heartbeats[next++ % heartbeats.size()];
    ++heartbeat.mSequence;
    benchmark::DoNotOptimize(directory->Apply(heartbeat, kWarm));
  }
}
BENCHMARK(BM_Heartbeat)->Arg(11)->Arg(100)->Arg(1000)->Arg(6100);

/// One agent drains and serves again, which builds two new tables.
void BM_MembershipChange(benchmark::State& aState)
{
  const auto directory = DirectoryOf(static_cast<int>(aState.range(0)));
  directory->Table();
  Heartbeat heartbeat = HeartbeatOf(0);
  for (auto unused : aState) {
    for (const auto state : { ServingState::Draining, ServingState::Serving }) {
      ++heartbeat.mSequence;
      heartbeat.mState = state;
      directory->Apply(heartbeat, kWarm);
      benchmark::DoNotOptimize(directory->Table());
    }
  }
  aState.SetItemsProcessed(aState.iterations() * 2);
}
BENCHMARK(BM_MembershipChange)->Arg(11)->Arg(100)->Arg(1000)->Arg(6100);

/// The work of each second: checks all agents for missing heartbeats and all
/// windows of the detector.
void BM_Tick(benchmark::State& aState)
{
  const auto directory = DirectoryOf(static_cast<int>(aState.range(0)));
  const OutlierDetector detector;
  for (auto unused : aState) {
    directory->Advance(kStart);
    benchmark::DoNotOptimize(detector.Evaluate(*directory->Table(), kStart));
  }
}
BENCHMARK(BM_Tick)->Arg(11)->Arg(100)->Arg(1000)->Arg(6100);

/// Applies the first heartbeats of all agents and builds one table.
void BM_Start(benchmark::State& aState)
{
  const auto count = static_cast<int>(aState.range(0));
  std::size_t bytes = 0;
  for (auto unused : aState) {
    const std::size_t before = mallinfo2().uordblks;
    const auto directory = DirectoryOf(count);
    benchmark::DoNotOptimize(directory->Table());
    bytes = mallinfo2().uordblks - before;
  }
  aState.counters["bytes/agent"] = static_cast<double>(bytes) / count;
}
BENCHMARK(BM_Start)->Arg(11)->Arg(100)->Arg(1000)->Arg(6100);

} // namespace
} // namespace foxtailbarrow

BENCHMARK_MAIN();
