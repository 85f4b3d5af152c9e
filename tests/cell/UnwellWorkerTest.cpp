// A worker had crashed, and its agent did not know yet whether it was gone: for
// 1.3 s the agent refused each start as `unwell`, since nothing listened there
// any more. The owner ordered some 800 starts to it in that time, as what was
// refused left its room free: `task-start-refused reason=unwell`, 25 to 99 of
// them each 0.1 s, while other workers had room.

#include "tests/cell/CellFixture.h"

namespace foxtailbarrow::cell::test {

namespace {

class UnwellWorkerTest : public CellFixture
{
protected:
  /// Worker "b" is the fuller one, so that "a" is chosen first.
  void SetUp() override
  {
    AttachAndGrant("b");
    AddSavedJob(Graph("before", { Step(4) }));
    Started("b", Orders("b"));
    AttachAndGrant("a");
    Tell("a", mNow);
    AddSavedJob(Graph("job", { Step(1) }));
    Refuse();
  }

  void Tell(const std::string& aAgent, Instant aAnsweredAt)
  {
    ReportRequest report = ReportOf(aAgent, State(aAgent + "-life"));
    report.mAnsweredAt = aAnsweredAt.time_since_epoch();
    mScheduler.HandleReport(report, Clock());
  }

  void Refuse()
  {
    const OrderRequest orders = Orders("a");
    ASSERT_EQ(orders.mStarts.size(), 1U);
    const StartOrder& start = orders.mStarts[0];
    mScheduler.OnStartResults(
      AgentId("a"),
      orders.mSession,
      { { start.mTask, start.mRun, StartOutcome::Unhealthy } },
      Clock());
    mRefusedAt = mNow;
    AdvanceClock(mSettings.mRefusalPause);
  }

  Instant mRefusedAt{};
};

TEST_F(UnwellWorkerTest, GetsNoStartUntilItHasAnsweredAgain)
{
  EXPECT_TRUE(WasLogged("worker-unwell"));
  Tell("a", mRefusedAt);
  EXPECT_TRUE(Orders("a").mStarts.empty());
  EXPECT_EQ(mScheduler.TakeOrders(AgentId("b")).mStarts.size(), 1U);
}

TEST_F(UnwellWorkerTest, GetsStartsWhenItHasAnsweredAgain)
{
  Tell("a", mNow);
  EXPECT_EQ(Orders("a").mStarts.size(), 1U);
}

TEST_F(UnwellWorkerTest, GetsStartsInItsNextSession)
{
  AttachAndGrant("a");
  EXPECT_EQ(Orders("a").mStarts.size(), 1U);
}

} // namespace

} // namespace foxtailbarrow::cell::test
