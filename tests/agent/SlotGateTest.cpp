#include "src/core/agent/SlotGate.h"

#include <atomic>
#include <deque>
#include <semaphore>
#include <thread>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace foxtailbarrow {
namespace {

using std::chrono::milliseconds;

const Instant kNow{ std::chrono::hours(1) };

/// Takes all slots and sets the mean time that slots were held to `aHeld`.
void Fill(SlotGate& aGate, Duration aHeld)
{
  while (aGate.TryTake()) {
  }
  aGate.Release(aHeld);
  ASSERT_TRUE(aGate.TryTake());
}

struct WaitCase
{
  const char* mName;
  std::int32_t mWaitingBefore;
  Duration mLeft;
  Reason mRefusal; ///< None = queued.
};

class SlotGateWait : public testing::TestWithParam<WaitCase>
{};

TEST_P(SlotGateWait, QueuesOrRefusesAtOnce)
{
  SlotGate gate({ 2, 4 });
  Fill(gate, milliseconds(100));
  for (std::int32_t i = 0; i < GetParam().mWaitingBefore; ++i) {
    gate.Wait(kNow, kNow + std::chrono::hours(1), [] {});
  }
  const SlotAdmission admission =
    gate.Wait(kNow, kNow + GetParam().mLeft, [] {});
  if (GetParam().mRefusal == Reason::None) {
    ASSERT_TRUE(std::holds_alternative<SlotQueued>(admission));
    EXPECT_EQ(std::get<SlotQueued>(admission).mGiveUpAt,
              kNow + GetParam().mLeft - milliseconds(100));
  } else {
    ASSERT_TRUE(std::holds_alternative<SlotRefused>(admission));
    EXPECT_EQ(std::get<SlotRefused>(admission).mReason, GetParam().mRefusal);
    EXPECT_GT(std::get<SlotRefused>(admission).mRetryAfter, Duration{});
  }
}

INSTANTIATE_TEST_SUITE_P(
  All,
  SlotGateWait,
  testing::Values(
    WaitCase{ "enough", 0, milliseconds(200), Reason::None },
    WaitCase{ "tooShort", 0, milliseconds(150), Reason::DeadlineTooShort },
    WaitCase{ "behindOthers", 3, milliseconds(300), Reason::DeadlineTooShort },
    WaitCase{ "queueFull", 4, milliseconds(9'000), Reason::BackendServersBusy },
    WaitCase{ "passed", 0, milliseconds(-1), Reason::DeadlineTooShort }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

TEST(SlotGate, GrantsSlotsInOrderOfArrival)
{
  SlotGate gate({ 1, 8 });
  ASSERT_TRUE(gate.TryTake());
  std::vector<int> order;
  for (int i = 0; i < 3; ++i) {
    gate.Wait(
      kNow, kNow + std::chrono::hours(1), [&order, i] { order.push_back(i); });
  }
  EXPECT_FALSE(gate.TryTake());
  for (int i = 0; i < 3; ++i) {
    gate.Release(milliseconds(1));
  }
  EXPECT_EQ(order, (std::vector<int>{ 0, 1, 2 }));
  EXPECT_EQ(gate.Load().mInUse, 1);
}

TEST(SlotGate, RefusesNewRequestsWhileItDrains)
{
  SlotGate gate({ 1, 8 });
  ASSERT_TRUE(gate.TryTake());
  bool wasGranted = false;
  gate.Wait(kNow, kNow + std::chrono::hours(1), [&] { wasGranted = true; });
  gate.Drain();
  EXPECT_FALSE(gate.TryTake());
  const SlotAdmission late = gate.Wait(kNow, kNow + milliseconds(9), [] {});
  EXPECT_EQ(std::get<SlotRefused>(late).mReason, Reason::Draining);
  gate.Release(milliseconds(1));
  EXPECT_TRUE(wasGranted);
}

RC_GTEST_PROP(SlotGate, NeverGrantsMoreSlotsThanItHas, ())
{
  SlotGate gate({ 3, 5 });
  int held = 0;
  std::deque<std::uint64_t> queue;
  const auto steps = *rc::gen::container<std::vector<std::uint8_t>>(
    rc::gen::arbitrary<std::uint8_t>());
  for (const std::uint8_t step : steps) {
    if (step % 4 == 0 && held > 0) {
      --held;
      gate.Release(milliseconds(1));
    } else if (step % 4 == 1 && !queue.empty()) {
      const bool wasWaiting = gate.Withdraw(queue.front());
      RC_ASSERT(!wasWaiting || gate.Load().mInUse == 3);
      queue.pop_front();
    } else if (gate.TryTake()) {
      ++held;
    } else {
      const SlotAdmission admission =
        gate.Wait(kNow, kNow + std::chrono::hours(1), [&held] { ++held; });
      if (const auto* queued = std::get_if<SlotQueued>(&admission)) {
        queue.push_back(queued->mTicket);
      }
    }
    const SlotLoad load = gate.Load();
    RC_ASSERT(held <= 3);
    RC_ASSERT(load.mInUse == held);
    RC_ASSERT(load.mWaiting <= 5);
    RC_ASSERT(load.mWaiting == 0 || held == 3);
  }
}

TEST(SlotGate, KeepsItsLimitsWithSeveralThreads)
{
  constexpr int kThreads = 4;
  constexpr int kRounds = 20'000;
  SlotGate gate({ 3, 2 });
  std::atomic<int> held{ 0 };
  std::atomic<int> peak{ 0 };
  std::atomic<int> served{ 0 };
  const auto use = [&] {
    const int now = ++held;
    int seen = peak;
    while (now > seen && !peak.compare_exchange_weak(seen, now)) {
    }
    ++served;
    --held;
  };
  const auto work = [&] {
    std::binary_semaphore granted(0);
    for (int i = 0; i < kRounds; ++i) {
      if (!gate.TryTake()) {
        const SlotAdmission admission =
          gate.Wait(kNow, kNow + std::chrono::hours(1), [&granted] {
            granted.release();
          });
        if (std::holds_alternative<SlotRefused>(admission)) {
          continue;
        }
        if (std::holds_alternative<SlotQueued>(admission)) {
          granted.acquire();
        }
      }
      use();
      gate.Release(Duration(1));
    }
  };
  std::vector<std::thread> threads;
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back(work);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  EXPECT_LE(peak, 3);
  EXPECT_GT(served, 0);
  EXPECT_EQ(gate.Load().mInUse, 0);
  EXPECT_EQ(gate.Load().mWaiting, 0);
}

} // namespace
} // namespace foxtailbarrow
