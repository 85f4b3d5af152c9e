#include <string>

#include <boost/fiber/operations.hpp>
#include <gtest/gtest.h>

#include "apps/taskagent/WorkerControl.h"
#include "src/net/FiberRuntime.h"
#include "tests/taskagent/ThrottledWorker.h"

namespace foxtailbarrow::taskagent::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr cell::Session kSession = 1 << 8;
constexpr std::int64_t kOverTarget = 60;
constexpr std::int64_t kBaseline = 5;
constexpr Duration kTimeout = seconds(10);
const cell::TaskRef kServing{ JobId("serving"), 0, 0, 0 };
const cell::TaskRef kBestEffort{ JobId("leftover"), 0, 0, 0 };

/// An agent's control of a worker that runs a serving task and a best-effort
/// task, neither of which this agent started.
class ThrottleTest : public testing::Test
{
protected:
  ThrottleTest()
  {
    mWorker.mTasks[kServing] = { 1, kBaseline, 100 };
    mWorker.mTasks[kBestEffort] = { 1, 6000, 100 };
  }

  void Attach(WorkerControl& aControl, cell::Session aSession = kSession)
  {
    cell::WorkerInfo info;
    info.mIncarnation = cell::WorkerIncarnation("life");
    aControl.UpdateInfo(info);
    ASSERT_TRUE(aControl.Attach(aSession).ok());
  }

  void SendMetadata(WorkerControl& aControl)
  {
    cell::OrderRequest orders;
    orders.mSession = kSession;
    orders.mNumber = 1;
    orders.mIncarnation = aControl.Info().mIncarnation;
    for (const auto& [task, entry] : mWorker.mTasks) {
      orders.mMetadata.push_back(
        { task,
          task == kServing ? milliseconds(20) : milliseconds(0),
          task != kServing,
          task == kServing ? "serving" : "leftover",
          {} });
    }
    EXPECT_TRUE(aControl.CarryOut(orders).mAccepted);
    const cell::InterferenceWeight weights[] = {
      { "serving", "leftover", 0.15 }
    };
    aControl.SetInterferenceWeights(weights);
  }

  /// Polls until `aDone`; returns false on a timeout.
  template<typename Condition>
  static bool PollUntil(WorkerControl& aControl, Condition aDone)
  {
    for (const Instant end = MonotonicNow() + kTimeout; MonotonicNow() < end;) {
      aControl.Poll();
      if (aDone()) {
        return true;
      }
      boost::this_fiber::sleep_for(milliseconds(25));
    }
    return false;
  }

  std::int32_t Throttle() const
  {
    return mWorker.mTasks.at(kBestEffort).mThrottle;
  }
  std::int64_t& ServingFigure() { return mWorker.mTasks.at(kServing).mFigure; }

  ThrottledWorker mWorker;
};

TEST_F(ThrottleTest, ARaiseCarriedOutLateDoesNotUndoAStop)
{
  net::FiberRuntime runtime(1);
  runtime.RunAndWait([&] {
    WorkerControl control(mWorker, [] {});
    Attach(control);
    SendMetadata(control);
    ServingFigure() = kOverTarget;
    ASSERT_TRUE(PollUntil(control, [&] { return Throttle() == 0; }));
    mWorker.mDropsThrottles = true;
    ServingFigure() = kBaseline;
    ASSERT_TRUE(PollUntil(control, [&] { return mWorker.LateCount() > 0; }));
    mWorker.mDropsThrottles = false;
    ASSERT_TRUE(PollUntil(control, [&] { return Throttle() > 0; }));
    ServingFigure() = kOverTarget;
    ASSERT_TRUE(PollUntil(control, [&] { return Throttle() == 0; }));
    mWorker.ApplyLate();
    EXPECT_EQ(Throttle(), 0);
  });
}

/// A lost stop was not repeated before the next poll, which may be late.
TEST_F(ThrottleTest, AThrottleCallWithoutAnAnswerIsRepeatedAtOnce)
{
  net::FiberRuntime runtime(1);
  runtime.RunAndWait([&] {
    WorkerControl control(mWorker, [] {});
    Attach(control);
    SendMetadata(control);
    ServingFigure() = kOverTarget;
    mWorker.mDropsThrottles = true;
    control.Poll();
    EXPECT_EQ(mWorker.LateCount(), 2U);
  });
}

/// If the calls were sequential, each would delay the others by its timeout.
TEST_F(ThrottleTest, ThrottleCallsWithoutAnswersDoNotWaitForEachOther)
{
  constexpr int kTasks = 8;
  constexpr milliseconds kAnswerAfter(100);
  net::FiberRuntime runtime(1);
  runtime.RunAndWait([&] {
    mWorker.mTasks.erase(kBestEffort);
    WorkerControl control(mWorker, [] {});
    Attach(control);
    for (int index = 0; index < kTasks; ++index) {
      const cell::TaskRef task{ JobId("leftover"), 0, 0, index };
      mWorker.mTasks[task] = { 1, 6000, 100 };
    }
    SendMetadata(control);
    mWorker.mThrottleDelay = kAnswerAfter;
    ServingFigure() = kOverTarget;
    control.Poll();
    EXPECT_EQ(mWorker.mMaxConcurrentThrottles, kTasks);
  });
}

/// The next poll may be late.
TEST_F(ThrottleTest,
       AStartColocatedWithAnImageOverItsTargetIsThrottledBeforeTheNextPoll)
{
  net::FiberRuntime runtime(1);
  runtime.RunAndWait([&] {
    WorkerControl control(mWorker, [] {});
    Attach(control);
    SendMetadata(control);
    control.OnGrant(kSession, MonotonicNow(), seconds(3), 0);
    ServingFigure() = kOverTarget;
    control.Poll();
    cell::OrderRequest orders;
    orders.mSession = kSession;
    orders.mNumber = 2;
    orders.mIncarnation = control.Info().mIncarnation;
    cell::StartOrder& start = orders.mStarts.emplace_back();
    start.mTask = { JobId("started"), 0, 0, 0 };
    start.mRun = 1;
    start.mBestEffort = true;
    start.mImage = "leftover";
    ASSERT_TRUE(control.CarryOut(orders).mAccepted);
    ASSERT_TRUE(mWorker.mTasks.contains(start.mTask));
    EXPECT_EQ(mWorker.mTasks.at(start.mTask).mThrottle, 0);
  });
}

TEST_F(ThrottleTest, ARestartedAgentRaisesTheThrottlesOfItsPredecessor)
{
  net::FiberRuntime runtime(1);
  runtime.RunAndWait([&] {
    mWorker.mTasks[kBestEffort] = { 1, 0, 0 };
    WorkerControl control(mWorker, [] {});
    Attach(control);
    SendMetadata(control);
    EXPECT_TRUE(PollUntil(control, [&] { return Throttle() == 100; }));
  });
}

/// Each poll causes a throttle call without an answer, which uses up a fence.
TEST_F(ThrottleTest, ASessionWithoutAFenceLeftIsReplaced)
{
  constexpr int kMoreThanFences = 260;
  net::FiberRuntime runtime(1);
  runtime.RunAndWait([&] {
    WorkerControl control(mWorker, [] {});
    Attach(control);
    SendMetadata(control);
    mWorker.mDropsThrottles = true;
    for (int poll = 0; poll < kMoreThanFences; ++poll) {
      control.Poll();
    }
    EXPECT_EQ(control.CurrentSession(), 0);
    EXPECT_TRUE(control.Attach(2 * kSession).ok());
    EXPECT_EQ(control.CurrentSession(), 2 * kSession);
  });
}

TEST_F(ThrottleTest, ASessionWithoutMetadataOfRunningTasksIsReplaced)
{
  net::FiberRuntime runtime(1);
  runtime.RunAndWait([&] {
    WorkerControl control(mWorker, [] {});
    Attach(control);
    ASSERT_EQ(control.CurrentSession(), kSession);
    EXPECT_TRUE(
      PollUntil(control, [&] { return control.CurrentSession() == 0; }));
  });
}

} // namespace

} // namespace foxtailbarrow::taskagent::test
