#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>
#include <string>

#include "src/core/placement/FairOrder.h"
#include "src/core/placement/PlacementPolicy.h"

namespace foxtailbarrow {
namespace {

using namespace std::chrono_literals;

constexpr Instant kNow{ 1000s };

Heartbeat AnyHeartbeat(int aWorker)
{
  Heartbeat heartbeat;
  heartbeat.mAgent = AgentId(std::to_string(aWorker));
  heartbeat.mSequence = 1;
  heartbeat.mRack = RackId(std::to_string(aWorker / 3));
  heartbeat.mState = *rc::gen::element(
    ServingState::Serving, ServingState::Serving, ServingState::Draining);
  heartbeat.mLoad.mCapacity = { 8000, 8000, 2 };
  heartbeat.mLoad.mReserved = { *rc::gen::inRange(0, 8001),
                                *rc::gen::inRange(0, 8001),
                                *rc::gen::inRange(0, 3) };
  return heartbeat;
}

RC_GTEST_PROP(PlacementPolicy,
              FindsAWorkerIfAndOnlyIfOneFits,
              (std::uint64_t aSeed))
{
  std::mt19937_64 random(aSeed);
  WorkerIndex index;
  const int workers = *rc::gen::inRange(1, 40);
  for (int i = 0; i < workers; ++i) {
    index.Update(AnyHeartbeat(i), kNow);
  }
  const WorkerSlot quarantined =
    *rc::gen::inRange<WorkerSlot>(0, static_cast<WorkerSlot>(workers));
  index.SetQuarantined(quarantined, true);
  const std::vector<WorkerSlot> avoid{ *rc::gen::inRange<WorkerSlot>(
    0, static_cast<WorkerSlot>(workers)) };
  PlacementRequest request;
  request.mSize = { *rc::gen::inRange(1, 8000), *rc::gen::inRange(1, 8000), 1 };
  request.mAvoid = avoid;
  const PlacementLoad load;
  bool fits = false;
  for (WorkerSlot slot = 0; slot < index.Size(); ++slot) {
    fits |= slot != avoid.front() && request.mSize.FitsIn(index.Free(slot));
  }
  for (const PlacementPolicy& policy : { PlacementPolicy(Placer()),
                                         PlacementPolicy(FirstFit()),
                                         PlacementPolicy(RandomFit()) }) {
    const auto slot = Choose(policy, request, index, load, random);
    RC_ASSERT(slot.has_value() == fits);
    if (slot) {
      RC_ASSERT(*slot != quarantined);
      RC_ASSERT(*slot != avoid.front());
      RC_ASSERT(request.mSize.FitsIn(index.Free(*slot)));
    }
  }
}

TEST(Placer, SpreadsStandingWorkOverRacks)
{
  std::mt19937_64 random(1);
  WorkerIndex index;
  for (int i = 0; i < 9; ++i) {
    Heartbeat heartbeat;
    heartbeat.mAgent = AgentId(std::to_string(i));
    heartbeat.mSequence = 1;
    heartbeat.mRack = RackId(std::to_string(i / 3));
    heartbeat.mState = ServingState::Serving;
    heartbeat.mLoad.mCapacity = { 8000, 8000, 0 };
    index.Update(heartbeat, kNow);
  }
  PlacementRequest request;
  request.mCustomer = CustomerId("c");
  request.mKind = JobKind::Standing;
  request.mSize = { 1000, 1000, 0 };
  PlacementLoad load;
  Placer::Settings settings;
  settings.mSamples = 64;
  for (int i = 0; i < 9; ++i) {
    const auto slot = Placer(settings).Choose(request, index, load, random);
    ASSERT_TRUE(slot.has_value());
    load.Add(request.mCustomer, *slot, index.At(*slot), request.mSize);
  }
  for (const char* rack : { "0", "1", "2" }) {
    EXPECT_EQ(load.InRack(request.mCustomer, RackId(rack)), 3);
  }
}

TEST(FairOrder, ServesTheTeamWithTheLeastDominantShare)
{
  QuotaTracker quotas;
  FairOrder order(quotas, { 1000, 1000, 10 });
  for (const char* name : { "cpu", "memory" }) {
    Contract contract;
    contract.mCustomer = CustomerId(name);
    contract.mTeam = TeamId(name);
    contract.mBatch = { { 1000, 1000, 10 }, 100, 1.0 };
    quotas.Apply(contract);
    order.Push(contract.mCustomer);
  }
  // Dominant shares per job: 9 % of the processors, 3 % of the memory.
  int cpuJobs = 0;
  for (int i = 0; i < 8; ++i) {
    const auto customer = order.Pop();
    ASSERT_TRUE(customer.has_value());
    const bool cpu = customer->Value() == "cpu";
    cpuJobs += cpu ? 1 : 0;
    quotas.Add(*customer,
               cpu ? Resources{ 90, 10, 0 } : Resources{ 10, 30, 0 });
    order.Push(*customer);
  }
  EXPECT_EQ(cpuJobs, 2);
}

} // namespace
} // namespace foxtailbarrow
