#include <string>

#include <boost/fiber/operations.hpp>
#include <gtest/gtest.h>

#include "apps/taskagent/WorkerControl.h"
#include "src/net/FiberRuntime.h"
#include "tests/taskagent/PacedWorker.h"

namespace foxtailbarrow::taskagent::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr cell::Session kSession = 1 << 8;
constexpr std::int64_t kOver = 60;
constexpr std::int64_t kCalm = 5;
constexpr Duration kPatience = seconds(10);
const cell::TaskRef kServing{ JobId("serving"), 0, 0, 0 };
const cell::TaskRef kLeftover{ JobId("leftover"), 0, 0, 0 };

/// An agent's control of a worker that runs a serving and a leftover task,
/// which it did not start itself.
class PaceTest : public testing::Test
{
protected:
  PaceTest()
  {
    mWorker.mTasks[kServing] = { 1, kCalm, 100 };
    mWorker.mTasks[kLeftover] = { 1, 6000, 100 };
  }

  void Attach(WorkerControl& aControl, cell::Session aSession = kSession)
  {
    cell::WorkerInfo info;
    info.mIncarnation = cell::WorkerIncarnation("life");
    aControl.TakeInfo(info);
    ASSERT_TRUE(aControl.Attach(aSession).ok());
  }

  void TellTraits(WorkerControl& aControl)
  {
    cell::OrderRequest orders;
    orders.mSession = kSession;
    orders.mNumber = 1;
    orders.mIncarnation = aControl.Info().mIncarnation;
    for (const auto& [task, entry] : mWorker.mTasks) {
      orders.mTraits.push_back(
        { task,
          task == kServing ? milliseconds(20) : milliseconds(0),
          task != kServing,
          task == kServing ? "serving" : "leftover",
          {} });
    }
    EXPECT_TRUE(aControl.CarryOut(orders).mAccepted);
    const cell::Pressure pressures[] = { { "serving", "leftover", 0.15 } };
    aControl.TakePressures(pressures);
  }

  /// Looks until `aDone`; false when it does not come.
  template<typename Condition>
  static bool LookUntil(WorkerControl& aControl, Condition aDone)
  {
    for (const Instant end = MonotonicNow() + kPatience;
         MonotonicNow() < end;) {
      aControl.Look();
      if (aDone()) {
        return true;
      }
      boost::this_fiber::sleep_for(milliseconds(25));
    }
    return false;
  }

  std::int32_t Pace() const { return mWorker.mTasks.at(kLeftover).mPace; }
  std::int64_t& ServingFigure() { return mWorker.mTasks.at(kServing).mFigure; }

  PacedWorker mWorker;
};

TEST_F(PaceTest, ARaiseCarriedOutLateDoesNotUndoAStop)
{
  net::FiberRuntime runtime(1);
  runtime.RunAndWait([&] {
    WorkerControl control(mWorker, [] {});
    Attach(control);
    TellTraits(control);
    ServingFigure() = kOver;
    ASSERT_TRUE(LookUntil(control, [&] { return Pace() == 0; }));
    mWorker.mLosesPaces = true;
    ServingFigure() = kCalm;
    ASSERT_TRUE(LookUntil(control, [&] { return mWorker.Late() > 0; }));
    mWorker.mLosesPaces = false;
    ASSERT_TRUE(LookUntil(control, [&] { return Pace() > 0; }));
    ServingFigure() = kOver;
    ASSERT_TRUE(LookUntil(control, [&] { return Pace() == 0; }));
    mWorker.CarryOutLate();
    EXPECT_EQ(Pace(), 0);
  });
}

/// A stop that was lost waited for the next look, which may be late.
TEST_F(PaceTest, APaceWithoutAnAnswerIsSentAgainAtOnce)
{
  net::FiberRuntime runtime(1);
  runtime.RunAndWait([&] {
    WorkerControl control(mWorker, [] {});
    Attach(control);
    TellTraits(control);
    ServingFigure() = kOver;
    mWorker.mLosesPaces = true;
    control.Look();
    EXPECT_EQ(mWorker.Late(), 2U);
  });
}

/// One after the other, each would take a time-out.
TEST_F(PaceTest, PacesWithoutAnswersDoNotWaitForEachOther)
{
  constexpr int kTasks = 8;
  constexpr milliseconds kAnswerAfter(100);
  net::FiberRuntime runtime(1);
  runtime.RunAndWait([&] {
    mWorker.mTasks.erase(kLeftover);
    WorkerControl control(mWorker, [] {});
    Attach(control);
    for (int index = 0; index < kTasks; ++index) {
      const cell::TaskRef task{ JobId("leftover"), 0, 0, index };
      mWorker.mTasks[task] = { 1, 6000, 100 };
    }
    TellTraits(control);
    mWorker.mPaceTakes = kAnswerAfter;
    ServingFigure() = kOver;
    control.Look();
    EXPECT_EQ(mWorker.mMostPacesAtOnce, kTasks);
  });
}

/// The next look may be late.
TEST_F(PaceTest, AStartBesideAnImageOverItsTargetIsPacedBeforeTheNextLook)
{
  net::FiberRuntime runtime(1);
  runtime.RunAndWait([&] {
    WorkerControl control(mWorker, [] {});
    Attach(control);
    TellTraits(control);
    control.TakeGrant(kSession, MonotonicNow(), seconds(3), 0);
    ServingFigure() = kOver;
    control.Look();
    cell::OrderRequest orders;
    orders.mSession = kSession;
    orders.mNumber = 2;
    orders.mIncarnation = control.Info().mIncarnation;
    cell::StartOrder& start = orders.mStarts.emplace_back();
    start.mTask = { JobId("started"), 0, 0, 0 };
    start.mRun = 1;
    start.mLeftover = true;
    start.mImage = "leftover";
    ASSERT_TRUE(control.CarryOut(orders).mAccepted);
    ASSERT_TRUE(mWorker.mTasks.contains(start.mTask));
    EXPECT_EQ(mWorker.mTasks.at(start.mTask).mPace, 0);
  });
}

TEST_F(PaceTest, ARestartedAgentSpeedsUpWhatTheOneBeforeItSlowedDown)
{
  net::FiberRuntime runtime(1);
  runtime.RunAndWait([&] {
    mWorker.mTasks[kLeftover] = { 1, 0, 0 };
    WorkerControl control(mWorker, [] {});
    Attach(control);
    TellTraits(control);
    EXPECT_TRUE(LookUntil(control, [&] { return Pace() == 100; }));
  });
}

/// Each look has a pace without an answer, which takes a fence.
TEST_F(PaceTest, ASessionWithoutAFenceLeftIsBegunAnew)
{
  constexpr int kMoreThanFences = 260;
  net::FiberRuntime runtime(1);
  runtime.RunAndWait([&] {
    WorkerControl control(mWorker, [] {});
    Attach(control);
    TellTraits(control);
    mWorker.mLosesPaces = true;
    for (int look = 0; look < kMoreThanFences; ++look) {
      control.Look();
    }
    EXPECT_EQ(control.CurrentSession(), 0);
    EXPECT_TRUE(control.Attach(2 * kSession).ok());
    EXPECT_EQ(control.CurrentSession(), 2 * kSession);
  });
}

TEST_F(PaceTest, ASessionThatTellsNoTraitsOfRunningTasksIsBegunAnew)
{
  net::FiberRuntime runtime(1);
  runtime.RunAndWait([&] {
    WorkerControl control(mWorker, [] {});
    Attach(control);
    ASSERT_EQ(control.CurrentSession(), kSession);
    EXPECT_TRUE(
      LookUntil(control, [&] { return control.CurrentSession() == 0; }));
  });
}

} // namespace

} // namespace foxtailbarrow::taskagent::test
