#include "tests/cell/CellFixture.h"

namespace foxtailbarrow::cell::test {

namespace {

const TaskRef kFirst{ JobId("job"), 0, 0, 0 };

/// Tasks that start together or not at all.
class GangTest : public CellFixture
{};

TEST_F(GangTest, AGangStartsCompletelyOrNotAtAll)
{
  StepSpec gang = Step(3, 4000);
  gang.mGang = true;
  AttachAndGrant("a");
  AddSavedJob(Graph("job", { gang }));
  EXPECT_TRUE(Orders("a").mStarts.empty()); // Two of three would fit.
  AttachAndGrant("b");
  mScheduler.Schedule(Clock());
  const OrderRequest first = mScheduler.TakeOrders(AgentId("a"));
  const OrderRequest second = mScheduler.TakeOrders(AgentId("b"));
  ASSERT_EQ(first.mStarts.size() + second.mStarts.size(), 3U);
  EXPECT_EQ(first.mStarts[0].mRun, second.mStarts[0].mRun);
}

TEST_F(GangTest, AGangThatLacksAMemberIsStopped)
{
  StepSpec gang = Step(2, 5000);
  gang.mGang = true;
  AttachAndGrant("a");
  AttachAndGrant("b");
  AddSavedJob(Graph("job", { gang }));
  const OrderRequest first = Orders("a");
  const OrderRequest second = mScheduler.TakeOrders(AgentId("b"));
  ASSERT_EQ(first.mStarts.size(), 1U);
  ASSERT_EQ(second.mStarts.size(), 1U);
  Started("a", first);
  mScheduler.OnStartResults(AgentId("b"),
                            second.mSession,
                            { { second.mStarts[0].mTask,
                                second.mStarts[0].mRun,
                                StartOutcome::Unhealthy } },
                            Clock());
  EXPECT_EQ(Orders("a").mStops.size(), 1U);
}

TEST_F(GangTest, MembersOfAGangResumeFromOneCheckpoint)
{
  StepSpec gang = Step(2, 1000);
  gang.mGang = true;
  StoredProgress progress;
  progress.mSteps.push_back({ 0, 0, "", {}, { { 1, "saved" } } });
  AddInherited(Graph("job", { gang }), progress);
  AttachAndGrant("a");
  const OrderRequest orders = Orders("a");
  ASSERT_EQ(orders.mStarts.size(), 2U);
  EXPECT_EQ(orders.mStarts[0].mCheckpoint, "saved");
  EXPECT_EQ(orders.mStarts[1].mCheckpoint, "saved");
}

} // namespace

} // namespace foxtailbarrow::cell::test
