#include <set>

#include "src/core/message/Codec.h"
#include "tests/cell/CellFixture.h"

namespace foxtailbarrow::cell::test {
namespace {

constexpr std::size_t kMaxMessageBytes = std::size_t{ 1 } << 20U;

struct OrderSizeCase
{
  std::string mName;
  std::int32_t mTasks;
  std::size_t mPayloadBytes;
  char mPayload;
  bool mGang;
};

/// Guards against orders that an agent refuses for their size: they were sent
/// again for good, and grew with each round.
class OrderSizeTest
  : public CellFixture
  , public testing::WithParamInterface<OrderSizeCase>
{};

INSTANTIATE_TEST_SUITE_P(
  Shapes,
  OrderSizeTest,
  testing::Values(OrderSizeCase{ "Wide", 10'000, 10, 'x', false },
                  OrderSizeCase{ "LongPayload", 600, 4000, 'x', false },
                  OrderSizeCase{ "EscapedPayload", 600, 4000, '\1', false },
                  OrderSizeCase{ "Gang", 350, 4000, 'x', true }),
  [](const auto& aInfo) { return aInfo.param.mName; });

TEST_P(OrderSizeTest, FitsIntoAMessage)
{
  const OrderSizeCase& shape = GetParam();
  StepSpec step = Step(shape.mTasks, 1);
  step.mDemand.mMemoryMb = 1;
  step.mGang = shape.mGang;
  JobGraph graph = Graph("job", { step });
  graph.mPayload = std::string(shape.mPayloadBytes, shape.mPayload);
  AddSavedJob(graph);
  AttachAndGrant("agent");
  std::set<TaskRef> started;
  std::vector<RunningTask> running;
  for (int round = 0; round < 40; ++round) {
    const OrderRequest orders = Orders("agent");
    EXPECT_LE(ToJsonText(orders).size(), kMaxMessageBytes);
    Started("agent", orders);
    for (const StartOrder& start : orders.mStarts) {
      EXPECT_TRUE(started.insert(start.mTask).second);
      running.push_back(Running(start.mTask, start.mRun));
    }
    AdvanceClock(milliseconds(100));
    Grant("agent");
    const ReportRequest report =
      ReportOf("agent", State("agent-life", running));
    EXPECT_LE(ToJsonText(report).size(), kMaxMessageBytes);
    mScheduler.HandleReport(report, Clock());
    SaveProgress();
  }
  EXPECT_EQ(started.size(),
            std::min<std::size_t>(CellLimits::kTasksPerWorker,
                                  static_cast<std::size_t>(shape.mTasks)));
}

/// Guards against tasks that wait for an agent that does not take its orders
/// while other workers are free.
class UnsentOrdersTest : public CellFixture
{};

TEST_F(UnsentOrdersTest, DoNotHoldUpOtherWorkers)
{
  StepSpec step = Step(300, 1);
  step.mDemand.mMemoryMb = 1;
  JobGraph graph = Graph("job", { step });
  graph.mPayload = std::string(kMaxPayloadBytes, 'x');
  AddSavedJob(graph);
  AttachAndGrant("silent");
  AttachAndGrant("other");
  std::size_t started = 0;
  for (int round = 0; round < 40; ++round) {
    AdvanceClock(milliseconds(20));
    Grant("silent");
    Grant("other");
    const OrderRequest orders = Orders("other");
    Started("other", orders);
    started += orders.mStarts.size();
  }
  EXPECT_GE(started, 250U);
  EXPECT_LE(mScheduler.TakeOrders(AgentId("silent")).mStarts.size(), 40U);
}

class UnacknowledgedEndsTest : public CellFixture
{};

/// Guards against second starts of tasks that ended. Ends that are not
/// acknowledged count: a worker lists 500 of them, and a task
/// whose end it does not list is taken for lost.
TEST_F(UnacknowledgedEndsTest, AWorkerWithManyUnacknowledgedEndsStartsNoMore)
{
  StepSpec step = Step(1000, 1);
  step.mDemand.mMemoryMb = 1;
  AddSavedJob(Graph("job", { step }));
  AttachAndGrant("agent");
  std::size_t ends = 0;
  for (int round = 0; round < 10; ++round) {
    const OrderRequest orders = Orders("agent");
    Started("agent", orders);
    // As an agent does, which reports each end once.
    std::vector<EndedTask> ended;
    for (const StartOrder& start : orders.mStarts) {
      ended.push_back(Ended(static_cast<std::int64_t>(++ends),
                            start.mTask,
                            start.mRun,
                            RunEnd::Done));
    }
    AdvanceClock(milliseconds(100));
    Grant("agent");
    Report("agent", State("agent-life", {}, ended));
  }
  EXPECT_EQ(ends, CellLimits::kTasksPerWorker);
}

} // namespace
} // namespace foxtailbarrow::cell::test
