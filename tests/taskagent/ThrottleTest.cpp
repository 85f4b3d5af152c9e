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
constexpr std::int64_t kOver = 60;
constexpr std::int64_t kBaseline = 5;
constexpr Duration kPatience = seconds(10);
const cell::TaskRef kServing{ JobId("serving"), 0, 0, 0 };
const cell::TaskRef kBestEffort{ JobId("leftover"), 0, 0, 0 };

/// An agent's control of a worker that runs a serving and a leftover task,
/// which it did not start itself.
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
    const cell::InterferenceWeight pressures[] = {
      { "serving", "leftover", 0.15 }
    };
    aControl.SetInterferenceWeights(pressures);
  }

  /// Looks until `aDone`; false when it does not come.
  template<typename Condition>
  static bool PollUntil(WorkerControl& aControl, Condition aDone)
  {
    for (const Instant end = MonotonicNow() + kPatience;
         MonotonicNow() < end;) {
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
    ServingFigure() = kOver;
    ASSERT_TRUE(PollUntil(control, [&] { return Throttle() == 0; }));
    mWorker.mDropsThrottles = true;
    ServingFigure() = kBaseline;
    ASSERT_TRUE(PollUntil(control, [&] { return mWorker.Late() > 0; }));
    mWorker.mDropsThrottles = false;
    ASSERT_TRUE(PollUntil(control, [&] { return Throttle() > 0; }));
    ServingFigure() = kOver;
    ASSERT_TRUE(PollUntil(control, [&] { return Throttle() == 0; }));
    mWorker.CarryOutLate();
    EXPECT_EQ(Throttle(), 0);
  });
}

/// A stop that was lost waited for the next look, which may be late.
TEST_F(ThrottleTest, APaceWithoutAnAnswerIsSentAgainAtOnce)
{
  net::FiberRuntime runtime(1);
  runtime.RunAndWait([&] {
    WorkerControl control(mWorker, [] {});
    Attach(control);
    SendMetadata(control);
    ServingFigure() = kOver;
    mWorker.mDropsThrottles = true;
    control.Poll();
    EXPECT_EQ(mWorker.Late(), 2U);
  });
}

/// One after the other, each would take a time-out.
TEST_F(ThrottleTest, PacesWithoutAnswersDoNotWaitForEachOther)
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
    ServingFigure() = kOver;
    control.Poll();
    EXPECT_EQ(mWorker.mMaxConcurrentThrottles, kTasks);
  });
}

/// The next look may be late.
TEST_F(ThrottleTest, AStartBesideAnImageOverItsTargetIsPacedBeforeTheNextLook)
{
  net::FiberRuntime runtime(1);
  runtime.RunAndWait([&] {
    WorkerControl control(mWorker, [] {});
    Attach(control);
    SendMetadata(control);
    control.OnGrant(kSession, MonotonicNow(), seconds(3), 0);
    ServingFigure() = kOver;
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

TEST_F(ThrottleTest, ARestartedAgentSpeedsUpWhatTheOneBeforeItSlowedDown)
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

/// Each look has a pace without an answer, which takes a fence.
TEST_F(ThrottleTest, ASessionWithoutAFenceLeftIsBegunAnew)
{
  constexpr int kMoreThanFences = 260;
  net::FiberRuntime runtime(1);
  runtime.RunAndWait([&] {
    WorkerControl control(mWorker, [] {});
    Attach(control);
    SendMetadata(control);
    mWorker.mDropsThrottles = true;
    for (int look = 0; look < kMoreThanFences; ++look) {
      control.Poll();
    }
    EXPECT_EQ(control.CurrentSession(), 0);
    EXPECT_TRUE(control.Attach(2 * kSession).ok());
    EXPECT_EQ(control.CurrentSession(), 2 * kSession);
  });
}

TEST_F(ThrottleTest, ASessionThatTellsNoTraitsOfRunningTasksIsBegunAnew)
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
