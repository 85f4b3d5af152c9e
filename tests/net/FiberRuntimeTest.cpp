#include "src/net/FiberRuntime.h"

#include <atomic>
#include <stdexcept>
#include <thread>

#include <boost/fiber/future.hpp>
#include <boost/fiber/operations.hpp>
#include <gtest/gtest.h>

namespace foxtailbarrow::net {
namespace {

class FiberRuntimeTest : public testing::TestWithParam<unsigned>
{};

TEST_P(FiberRuntimeTest, FibersStayOnTheirThread)
{
  FiberRuntime runtime(GetParam());
  std::atomic<int> moved{ 0 };
  std::atomic<int> done{ 0 };
  constexpr int kFibers = 1000;
  for (int fiber = 0; fiber < kFibers; ++fiber) {
    runtime.Spawn([&] {
      const auto before = std::this_thread::get_id();
      boost::this_fiber::sleep_for(std::chrono::milliseconds(1));
      moved += before != std::this_thread::get_id() ? 1 : 0;
      ++done;
    });
  }
  runtime.RunAndWait([&] {
    while (done < kFibers) {
      boost::this_fiber::sleep_for(std::chrono::milliseconds(1));
    }
  });
  EXPECT_EQ(0, moved);
}

TEST_P(FiberRuntimeTest, WakesFibersAcrossThreads)
{
  FiberRuntime runtime(GetParam());
  int received = 0;
  runtime.RunAndWait([&] {
    for (int turn = 0; turn < 100; ++turn) {
      boost::fibers::promise<int> promise;
      auto future = promise.get_future();
      runtime.SpawnOn(static_cast<unsigned>(turn) % runtime.Threads(),
                      [&promise, turn] { promise.set_value(turn); });
      received += future.get() == turn ? 1 : 0;
    }
  });
  EXPECT_EQ(100, received);
}

TEST_P(FiberRuntimeTest, StopAbandonsSuspendedFibers)
{
  FiberRuntime runtime(GetParam());
  std::atomic<bool> waiting{ false };
  runtime.RunAndWait([&] {
    runtime.Spawn([&] {
      waiting = true;
      boost::this_fiber::sleep_for(std::chrono::hours(1));
    });
    while (!waiting) {
      boost::this_fiber::yield();
    }
  });
  runtime.Stop();
  EXPECT_THROW(runtime.RunAndWait([] {}), std::logic_error);
}

TEST_P(FiberRuntimeTest, RunAndWaitRethrowsExceptions)
{
  FiberRuntime runtime(GetParam());
  EXPECT_THROW(runtime.RunAndWait([] { throw std::runtime_error("no"); }),
               std::runtime_error);
}

INSTANTIATE_TEST_SUITE_P(Threads,
                         FiberRuntimeTest,
                         testing::Values(1U, 2U, 4U));

} // namespace
} // namespace foxtailbarrow::net
