#include <algorithm>
#include <iterator>

#include "tests/cell/CellFixture.h"

namespace foxtailbarrow::cell::test {

namespace {

/// A worker whose capacity changes while tasks of 1000 millicores run on it and
/// more tasks wait.
struct ShrinkCase
{
  const char* mName;
  std::int64_t mBefore; ///< Millicores.
  std::int64_t mAfter;
  std::size_t mStarted;
  std::size_t mMore; ///< Starts after the change.
};

class ShrinkingOrderTest : public CellFixture
{
protected:
  static WorkerState Sized(std::int64_t aMillicores,
                           std::vector<RunningTask> aRunning = {},
                           std::vector<EndedTask> aEnded = {})
  {
    WorkerState state = State("a-life", std::move(aRunning), std::move(aEnded));
    state.mInfo.mCapacity.mMillicores = aMillicores;
    return state;
  }

  /// Refuses all starts: the agent knows of a smaller capacity than the owner.
  void RefuseAll(const std::string& aAgent, const OrderRequest& aOrders)
  {
    std::vector<StartResult> results;
    for (const StartOrder& start : aOrders.mStarts) {
      results.push_back(
        { start.mTask, start.mRun, StartOutcome::OverCapacity });
    }
    mScheduler.OnStartResults(
      AgentId(aAgent), aOrders.mSession, results, Clock());
  }

  static std::vector<RunningTask> RunningOf(const OrderRequest& aOrders)
  {
    std::vector<RunningTask> running;
    for (const StartOrder& start : aOrders.mStarts) {
      running.push_back(Running(start.mTask, start.mRun));
    }
    return running;
  }
};

class ShrinkingWorkerTest
  : public ShrinkingOrderTest
  , public testing::WithParamInterface<ShrinkCase>
{};

TEST_P(ShrinkingWorkerTest, GetsNoStartBeyondItsNewestCapacity)
{
  Attach("a", Sized(GetParam().mBefore));
  Grant("a");
  AddSavedJob(Graph("job", { Step(20) }));
  const OrderRequest first = Orders("a");
  ASSERT_EQ(first.mStarts.size(), GetParam().mStarted);
  Started("a", first);
  Report("a", Sized(GetParam().mAfter, RunningOf(first)));
  EXPECT_EQ(Orders("a").mStarts.size(), GetParam().mMore);
}

TEST_P(ShrinkingWorkerTest, TasksBeingStoppedStillCount)
{
  Attach("a", Sized(GetParam().mBefore));
  Grant("a");
  AddSavedJob(Graph("job", { Step(20) }));
  const OrderRequest first = Orders("a");
  Started("a", first);
  mScheduler.CancelJob(JobId("job"), Clock());
  AddSavedJob(Graph("next", { Step(20) }));
  Report("a", Sized(GetParam().mAfter, RunningOf(first)));
  EXPECT_EQ(Orders("a").mStarts.size(), GetParam().mMore);
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  ShrinkingWorkerTest,
  testing::Values(ShrinkCase{ "Shrinks", 8000, 6000, 8, 0 },
                  ShrinkCase{ "BelowOneTask", 4000, 500, 4, 0 },
                  ShrinkCase{ "ToZero", 4000, 0, 4, 0 },
                  ShrinkCase{ "Grows", 4000, 7000, 4, 3 },
                  ShrinkCase{ "FromZero", 0, 2000, 0, 2 }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

/// The agent learns of the smaller capacity before the owner.
TEST_F(ShrinkingOrderTest, AStartThatNoLongerFitsGoesElsewhereAtOnce)
{
  Attach("a", Sized(4000));
  Grant("a");
  AddSavedJob(Graph("job", { Step(2) }));
  const OrderRequest first = Orders("a");
  ASSERT_EQ(first.mStarts.size(), 2U);
  RefuseAll("a", first);
  Attach("b", Sized(4000));
  Grant("b");
  EXPECT_EQ(Orders("b").mStarts.size(), 2U);
}

/// The capacity that the owner knows is older than the refusal: without this
/// rule the same start would be refused again and again.
TEST_F(ShrinkingOrderTest, AWorkerThatRefusedGetsNoStartUntilItsNextReport)
{
  Attach("a", Sized(4000));
  Grant("a");
  AddSavedJob(Graph("job", { Step(2) }));
  RefuseAll("a", Orders("a"));
  EXPECT_TRUE(Orders("a").mStarts.empty());
  Report("a", Sized(1000));
  EXPECT_EQ(Orders("a").mStarts.size(), 1U);
}

/// There is no pause, since the refusal is for capacity and not for health.
TEST_F(ShrinkingOrderTest, AWorkerThatGrowsAgainGetsStartsAtOnce)
{
  Attach("a", Sized(4000));
  Grant("a");
  AddSavedJob(Graph("job", { Step(2) }));
  for (int flap = 0; flap < 5; ++flap) {
    RefuseAll("a", Orders("a"));
    Report("a", Sized(1000));
    Report("a", Sized(4000));
  }
  EXPECT_EQ(Orders("a").mStarts.size(), 2U);
}

/// Each report has another capacity: running tasks are never stopped for it,
/// and no more are started than fit the larger one.
TEST_F(ShrinkingOrderTest, NothingIsStoppedWhereTheCapacityFlaps)
{
  Attach("a", Sized(6000));
  Grant("a");
  AddSavedJob(Graph("job", { Step(20) }));
  std::vector<RunningTask> running;
  for (int report = 0; report < 12; ++report) {
    const OrderRequest orders = Orders("a");
    EXPECT_TRUE(orders.mStops.empty());
    Started("a", orders);
    std::ranges::copy(RunningOf(orders), std::back_inserter(running));
    AdvanceClock(milliseconds(460));
    Grant("a");
    Report("a", Sized(report % 2 == 0 ? 2000 : 6000, running));
  }
  EXPECT_EQ(running.size(), 6U);
}

/// Best-effort tasks may use what the current capacity leaves.
TEST_F(ShrinkingOrderTest, BestEffortWorkFollowsTheCurrentCapacity)
{
  StepSpec bestEffort = Step(20);
  bestEffort.mBestEffort = true;
  Attach("a", Sized(8000));
  Grant("a");
  AddSavedJob(Graph("job", { bestEffort }));
  const std::size_t atFirst = Orders("a").mStarts.size();
  Attach("b", Sized(4000));
  Grant("b");
  const std::size_t ofHalf = Orders("b").mStarts.size();
  EXPECT_GT(atFirst, ofHalf);
  EXPECT_GT(ofHalf, 0U);
}

/// An order that the agent has not carried out yet uses capacity.
TEST_F(ShrinkingOrderTest, AnOrderInFlightCounts)
{
  Attach("a", Sized(4000));
  Grant("a");
  AddSavedJob(Graph("job", { Step(2) }));
  ASSERT_EQ(Orders("a").mStarts.size(), 2U);
  Report("a", Sized(2000), 0);
  AddSavedJob(Graph("next", { Step(1) }));
  EXPECT_TRUE(Orders("a").mStarts.empty());
}

} // namespace

} // namespace foxtailbarrow::cell::test
