#include "tests/cell/CellFixture.h"

namespace foxtailbarrow::cell::test {

namespace {

const TaskRef kFirst{ JobId("job"), 0, 0, 0 };

/// Which runs a report that lacks them ends.
class ReportOrderTest : public CellFixture
{};

TEST_F(ReportOrderTest, AReportOlderThanAStartDoesNotEndIt)
{
  AttachAndGrant("a");
  AttachAndGrant("b");
  AddSavedJob(Graph("job", { Step(1) }));
  const OrderRequest orders = Orders("a");
  ASSERT_EQ(orders.mStarts.size(), 1U);
  Started("a", orders);
  // However late it arrives, its state precedes the orders.
  AdvanceClock(seconds(3));
  Grant("a");
  Grant("b");
  Report("a", State("a-life"), orders.mNumber - 1);
  EXPECT_TRUE(Orders("a").mStarts.empty());
  EXPECT_TRUE(Orders("b").mStarts.empty());
  Report("a", State("a-life"), orders.mNumber);
  EXPECT_EQ(Orders("a").mStarts.size() + Orders("b").mStarts.size(), 1U);
}

TEST_F(ReportOrderTest, ARunOfAnEarlierSessionEndsWithAnyReport)
{
  AttachAndGrant("a");
  AddSavedJob(Graph("job", { Step(1) }));
  const OrderRequest orders = Orders("a");
  Started("a", orders);
  const RunningTask running = Running(kFirst, orders.mStarts[0].mRun);
  mScheduler.DetachWorker(AgentId("a"), Clock());
  Attach("a", State("a-life", { running }));
  Grant("a");
  Report("a", State("a-life"), 0);
  EXPECT_EQ(Orders("a").mStarts.size(), 1U);
}

} // namespace

} // namespace foxtailbarrow::cell::test
