#include "tests/cell/CellFixture.h"

namespace foxtailbarrow::cell::test {

namespace {

const TaskRef kFirst{ JobId("job"), 0, 0, 0 };
const AgentId kAgent("a");

/// A worker that reported that it left: nothing of this incarnation runs.
class WorkerLeaveTest : public CellFixture
{
protected:
  static WorkerState Left(std::vector<EndedTask> aEnded = {})
  {
    WorkerState state = State("a-life", {}, std::move(aEnded));
    state.mInfo.mDraining = true;
    state.mInfo.mLeft = true;
    return state;
  }

  /// Sends a report from an agent without a session.
  void ReportUnattached(const WorkerState& aState)
  {
    ReportRequest report;
    report.mAgent = kAgent;
    report.mState = aState;
    EXPECT_FALSE(mScheduler.HandleReport(report, Clock()));
  }
};

TEST_F(WorkerLeaveTest, ItsTasksStartElsewhereAtOnce)
{
  AttachAndGrant("a");
  AddSavedJob(Graph("job", { Step(1) }));
  Started("a", Orders("a"));
  AttachAndGrant("b");
  Report("a", Left());
  EXPECT_EQ(Orders("b").mStarts.size(), 1U);
}

TEST_F(WorkerLeaveTest, ItsLastEndsCount)
{
  AttachAndGrant("a");
  AddSavedJob(Graph("job", { Step(1) }));
  const OrderRequest orders = Orders("a");
  Started("a", orders);
  AttachAndGrant("b");
  Report("a", Left({ Ended(1, kFirst, orders.mStarts[0].mRun, RunEnd::Done) }));
  EXPECT_TRUE(Orders("b").mStarts.empty());
  SaveProgress();
  EXPECT_EQ(mScheduler.PhaseOf(JobId("job")), JobPhase::Completed);
}

TEST_F(WorkerLeaveTest, ANextOwnerDoesNotWaitForIt)
{
  mScheduler.ExpectAgents({ { kAgent } }, mNow + seconds(6));
  AddInherited(Graph("job", { Step(1) }));
  AttachAndGrant("b");
  EXPECT_TRUE(Orders("b").mStarts.empty());
  ReportUnattached(Left());
  EXPECT_EQ(Orders("b").mStarts.size(), 1U);
}

/// A next owner learns the last ends from the agent of a worker that left
/// before the agent was attached. It ignored them and ran the tasks again.
TEST_F(WorkerLeaveTest, ItsLastEndsCountForANextOwner)
{
  mScheduler.ExpectAgents({ { kAgent } }, mNow + seconds(6));
  AddInherited(Graph("job", { Step(1) }));
  AttachAndGrant("b");
  ReportUnattached(Left({ Ended(1, kFirst, kEarlierRun, RunEnd::Done) }));
  EXPECT_TRUE(Orders("b").mStarts.empty());
  SaveProgress();
  EXPECT_EQ(mScheduler.PhaseOf(JobId("job")), JobPhase::Completed);
}

/// The same for an agent whose session has ended.
TEST_F(WorkerLeaveTest, ItsLastEndsCountAfterItsSession)
{
  AttachAndGrant("a");
  AddSavedJob(Graph("job", { Step(1) }));
  const OrderRequest orders = Orders("a");
  Started("a", orders);
  AttachAndGrant("b");
  mScheduler.DetachWorker(kAgent, Clock());
  ReportUnattached(
    Left({ Ended(1, kFirst, orders.mStarts[0].mRun, RunEnd::Done) }));
  EXPECT_TRUE(Orders("b").mStarts.empty());
  SaveProgress();
  EXPECT_EQ(mScheduler.PhaseOf(JobId("job")), JobPhase::Completed);
}

TEST_F(WorkerLeaveTest, NothingIsPlacedOnItUntilItsAgentAttachesAgain)
{
  AttachAndGrant("a");
  Report("a", Left());
  AddSavedJob(Graph("job", { Step(1) }));
  EXPECT_FALSE(Report("a", State("next-life")));
  EXPECT_TRUE(Orders("a").mStarts.empty());
  Attach("a", State("next-life"));
  Grant("a");
  EXPECT_EQ(Orders("a").mStarts.size(), 1U);
}

TEST_F(WorkerLeaveTest, ARecordIsNeededWhileSomethingMayRun)
{
  EXPECT_FALSE(mScheduler.RunsNothing(kAgent)); // No report of it yet.
  AttachAndGrant("a");
  EXPECT_FALSE(mScheduler.RunsNothing(kAgent));
  mScheduler.DetachWorker(kAgent, Clock());
  mScheduler.Schedule(Clock());
  EXPECT_FALSE(mScheduler.RunsNothing(kAgent)); // Its leases are in force.
  AdvanceClock(mSettings.mMaxTaskLease + mSettings.mLeaseMargin +
               milliseconds(1));
  mScheduler.Schedule(Clock());
  EXPECT_TRUE(mScheduler.RunsNothing(kAgent));
  AttachAndGrant("a");
  EXPECT_FALSE(mScheduler.RunsNothing(kAgent));
  Report("a", Left());
  EXPECT_TRUE(mScheduler.RunsNothing(kAgent));
}

} // namespace

} // namespace foxtailbarrow::cell::test
