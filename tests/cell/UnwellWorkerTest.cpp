// A crashed worker refuses all starts (`task-start-refused reason=unwell`)
// until its agent knows that it has ended. Refused starts leave its capacity
// free, so that without a rule the owner keeps choosing it: about 800 starts
// in 1.3 s, at 25 to 99 per 0.1 s, while other workers had free capacity.

#include "tests/cell/CellFixture.h"

namespace foxtailbarrow::cell::test {

namespace {

class UnwellWorkerTest : public CellFixture
{
protected:
  /// Worker "b" is fuller, so that "a" is chosen first.
  void SetUp() override
  {
    AttachAndGrant("b");
    AddSavedJob(Graph("before", { Step(4) }));
    Started("b", Orders("b"));
    AttachAndGrant("a");
    ReportAnswer("a", mNow);
    AddSavedJob(Graph("job", { Step(1) }));
    Refuse();
  }

  void ReportAnswer(const std::string& aAgent, Instant aAnsweredAt)
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
  ReportAnswer("a", mRefusedAt);
  EXPECT_TRUE(Orders("a").mStarts.empty());
  EXPECT_EQ(mScheduler.TakeOrders(AgentId("b")).mStarts.size(), 1U);
}

TEST_F(UnwellWorkerTest, GetsStartsWhenItHasAnsweredAgain)
{
  ReportAnswer("a", mNow);
  EXPECT_EQ(Orders("a").mStarts.size(), 1U);
}

TEST_F(UnwellWorkerTest, GetsStartsInItsNextSession)
{
  AttachAndGrant("a");
  EXPECT_EQ(Orders("a").mStarts.size(), 1U);
}

} // namespace

} // namespace foxtailbarrow::cell::test
