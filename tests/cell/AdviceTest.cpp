#include "tests/cell/CellFixture.h"

namespace foxtailbarrow::cell::test {

namespace {

const TaskRef kFirst{ JobId("job"), 0, 0, 0 };
const WorkerIncarnation kWorkerA("a-life");
const WorkerIncarnation kWorkerB("b-life");

/// A queue whose workers are chosen by another service, workers a and b, and a
/// job of one task.
class AdviceTest : public CellFixture
{
protected:
  AdviceTest()
  {
    QueuePolicy policy = Policy();
    policy.mAdvice = { milliseconds(100), milliseconds(10), seconds(3) };
    mScheduler.SetQueues({ policy });
    AttachAndGrant("a");
    AttachAndGrant("b");
    AddSavedJob(Graph("job", { Step(1) }));
    mScheduler.Schedule(Clock());
  }

  AdviceQuery Query()
  {
    const auto query = mScheduler.NextAdviceQuery(Clock());
    EXPECT_TRUE(query.has_value());
    return query.value_or(AdviceQuery());
  }

  void Reply(std::vector<AdviceGrant> aGranted)
  {
    mScheduler.OnAdvice(
      Query(), AdviceReply{ std::move(aGranted), seconds(3) }, Clock());
  }
};

TEST_F(AdviceTest, NothingStartsWithoutATicket)
{
  EXPECT_TRUE(Orders("a").mStarts.empty());
  EXPECT_TRUE(Orders("b").mStarts.empty());
}

TEST_F(AdviceTest, QueriesAllWorkersWithATimeout)
{
  const AdviceQuery query = Query();
  EXPECT_EQ(query.mStep, kFirst);
  EXPECT_EQ(query.mWorkers,
            (std::vector<WorkerIncarnation>{ kWorkerA, kWorkerB }));
  EXPECT_GT(query.mTimeout, milliseconds(120)); // 100 and 10 a worker
}

TEST_F(AdviceTest, ATaskStartsOnTheGrantedWorkerWithItsTicket)
{
  Reply({ { kWorkerB, "ticket-b" } });
  EXPECT_TRUE(Orders("a").mStarts.empty());
  const OrderRequest orders = Orders("b");
  ASSERT_EQ(orders.mStarts.size(), 1U);
  EXPECT_EQ(orders.mStarts[0].mTicket, "ticket-b");
}

TEST_F(AdviceTest, ADeniedWorkerIsNotQueriedAgain)
{
  Reply({});
  EXPECT_FALSE(mScheduler.NextAdviceQuery(Clock()));
  AdvanceClock(seconds(10));
  EXPECT_FALSE(mScheduler.NextAdviceQuery(Clock()));
}

TEST_F(AdviceTest, AnExpiredTicketIsRequestedAgain)
{
  mScheduler.DetachWorker(AgentId("b"), Clock());
  Reply({ { kWorkerA, "first" } });
  AdvanceClock(seconds(3));
  Grant("a");
  EXPECT_TRUE(Orders("a").mStarts.empty());
  Reply({ { kWorkerA, "second" } });
  const OrderRequest orders = Orders("a");
  ASSERT_EQ(orders.mStarts.size(), 1U);
  EXPECT_EQ(orders.mStarts[0].mTicket, "second");
}

TEST_F(AdviceTest, ARejectedTicketIsRequestedAgain)
{
  mScheduler.DetachWorker(AgentId("b"), Clock());
  Reply({ { kWorkerA, "first" } });
  const OrderRequest orders = Orders("a");
  ASSERT_EQ(orders.mStarts.size(), 1U);
  mScheduler.OnStartResults(
    AgentId("a"),
    orders.mSession,
    { { kFirst, orders.mStarts[0].mRun, StartOutcome::NoTicket } },
    Clock());
  EXPECT_EQ(Query().mWorkers, std::vector<WorkerIncarnation>{ kWorkerA });
}

TEST_F(AdviceTest, AServiceThatDoesNotReplyIsQueriedLater)
{
  mScheduler.OnAdvice(Query(), std::nullopt, Clock());
  EXPECT_FALSE(mScheduler.NextAdviceQuery(Clock()));
  AdvanceClock(milliseconds(200));
  EXPECT_TRUE(mScheduler.NextAdviceQuery(Clock()));
}

} // namespace

} // namespace foxtailbarrow::cell::test
