#include <string>

#include <boost/fiber/operations.hpp>
#include <gtest/gtest.h>

#include "apps/taskagent/WorkerControl.h"
#include "src/net/FiberRuntime.h"
#include "tests/cell/CellFixture.h"
#include "tests/taskagent/ThrottledWorker.h"

namespace foxtailbarrow::taskagent::test {

namespace {

/// The scheduler of a cell and the agent of one worker.
class RestartedAgentTest : public cell::test::CellFixture
{
protected:
  static inline const std::string kAgent = "agent";
  static constexpr Duration kTimeout = std::chrono::seconds(10);

  /// Begins a session of the scheduler with an agent without state.
  cell::OrderRequest Begin(WorkerControl& aControl)
  {
    aControl.UpdateInfo(State("life").mInfo);
    Attach(kAgent, *aControl.Attach((mSession + 1) << 8));
    Grant(kAgent);
    cell::OrderRequest orders = Orders(kAgent);
    orders.mSession = mSession << 8;
    return orders;
  }

  ThrottledWorker mWorker;
};

/// A restarted agent gets the metadata of the running tasks from the owner.
TEST_F(RestartedAgentTest, ProtectsTheServingTasksThatKeptRunning)
{
  cell::StepSpec serving = Step(1);
  serving.mStanding = true;
  serving.mImage = "serving";
  serving.mLatencyTarget = std::chrono::milliseconds(20);
  cell::StepSpec bestEffort = Step(1);
  bestEffort.mBestEffort = true;
  bestEffort.mImage = "leftover";
  net::FiberRuntime runtime(1);
  runtime.RunAndWait([&] {
    {
      WorkerControl first(mWorker, [] {});
      Begin(first);
      AddSavedJob(Graph("serving", { serving }));
      AddSavedJob(Graph("leftover", { bestEffort }));
      cell::OrderRequest orders = Orders(kAgent);
      Started(kAgent, orders);
      for (const cell::StartOrder& order : orders.mStarts) {
        mWorker.mTasks[order.mTask] = { order.mRun,
                                        order.mBestEffort ? 900 : 60 };
      }
      ASSERT_EQ(mWorker.mTasks.size(), 2U);
    }
    WorkerControl restarted(mWorker, [] {});
    ASSERT_TRUE(restarted.CarryOut(Begin(restarted)).mAccepted);
    const Instant end = MonotonicNow() + kTimeout;
    const ThrottledWorker::Task& task =
      mWorker.mTasks.at({ JobId("leftover"), 0, 0, 0 });
    while (task.mThrottle > 0 && MonotonicNow() < end) {
      restarted.Poll();
      boost::this_fiber::sleep_for(std::chrono::milliseconds(25));
    }
    EXPECT_EQ(task.mThrottle, 0);
  });
}

} // namespace

} // namespace foxtailbarrow::taskagent::test
