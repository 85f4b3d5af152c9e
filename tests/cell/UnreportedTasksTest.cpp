#include "src/core/cell/recovery/RecordClosing.h"
#include "tests/cell/CellFixture.h"

namespace foxtailbarrow::cell::test {

namespace {

TaskRef Task(std::int32_t aIndex)
{
  return { JobId("job"), 0, 0, aIndex };
}

/// A takeover while a worker is silent. Guards against two faults: a second run
/// of a task that the silent worker may still run, and work that waits for it
/// although it can't run there.
struct TakeoverCase
{
  const char* mName;
  std::vector<ExpectedAgent> mExpected;
  std::vector<TaskRef> mStarted; ///< Of a step of three tasks, at once.
};

class TakeoverTest
  : public CellFixture
  , public testing::WithParamInterface<TakeoverCase>
{};

TEST_P(TakeoverTest, StartsWhatCannotRunElsewhere)
{
  AddInherited(Graph("job", { Step(3) }));
  mScheduler.ExpectAgents(GetParam().mExpected,
                          mNow + mSettings.mOwnershipTimeout);
  AttachAndGrant("b");
  std::vector<TaskRef> started;
  for (const StartOrder& start : Orders("b").mStarts) {
    started.push_back(start.mTask);
  }
  EXPECT_EQ(started, GetParam().mStarted);
  // After all leases nothing waits any more.
  AdvanceClock(mSettings.mOwnershipTimeout);
  Grant("b");
  EXPECT_EQ(Orders("b").mStarts.size(), 3U - started.size());
}

INSTANTIATE_TEST_SUITE_P(
  All,
  TakeoverTest,
  testing::Values(
    TakeoverCase{ "NoAgentExpected", {}, { Task(0), Task(1), Task(2) } },
    TakeoverCase{ "OpenRecord", { { AgentId("a") } }, {} },
    TakeoverCase{ "ClosedRecord",
                  { { AgentId("a"), true, { Task(1) } } },
                  { Task(0), Task(2) } },
    TakeoverCase{ "ClosedRecordWithoutTasks",
                  { { AgentId("a"), true, {} } },
                  { Task(0), Task(1), Task(2) } },
    TakeoverCase{ "TwoClosedRecords",
                  { { AgentId("a"), true, { Task(1) } },
                    { AgentId("c"), true, { Task(2) } } },
                  { Task(0) } },
    TakeoverCase{ "ClosedAndOpenRecord",
                  { { AgentId("a"), true, { Task(1) } }, { AgentId("c") } },
                  {} }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

class UnreportedTasksTest : public CellFixture
{
protected:
  const WorkerEntry& Worker(const std::string& aAgent) const
  {
    return mScheduler.Workers().at(AgentId(aAgent));
  }

  std::vector<TaskRef> Awaited(const std::string& aAgent) const
  {
    return mScheduler.TasksToAwait(AgentId(aAgent));
  }

  /// The runs that the orders start, from number `aFrom` on.
  static std::vector<RunningTask> RunsOf(const OrderRequest& aOrders,
                                         std::size_t aFrom)
  {
    std::vector<RunningTask> running;
    for (std::size_t i = aFrom; i < aOrders.mStarts.size(); ++i) {
      running.push_back(
        Running(aOrders.mStarts[i].mTask, aOrders.mStarts[i].mRun));
    }
    return running;
  }

  static WorkerState Draining(WorkerState aState)
  {
    aState.mInfo.mDraining = true;
    aState.mInfo.mDrainLeft = seconds(3);
    return aState;
  }
};

TEST_F(UnreportedTasksTest, ATaskWaitsUntilItsWorkerIsReported)
{
  AddInherited(Graph("job", { Step(1) }));
  mScheduler.ExpectAgents({ { AgentId("a"), true, { Task(0) } } },
                          mNow + seconds(6));
  AttachAndGrant("b");
  EXPECT_TRUE(Orders("b").mStarts.empty());
  AttachAndGrant("a");
  EXPECT_EQ(Orders("a").mStarts.size() + Orders("b").mStarts.size(), 1U);
}

TEST_F(UnreportedTasksTest, AGangWaitsForEachMember)
{
  StepSpec step = Step(2);
  step.mGang = true;
  AddInherited(Graph("job", { step }));
  mScheduler.ExpectAgents({ { AgentId("a"), true, { Task(1) } } },
                          mNow + seconds(6));
  AttachAndGrant("b");
  EXPECT_TRUE(Orders("b").mStarts.empty());
  AdvanceClock(seconds(6));
  Grant("b");
  EXPECT_EQ(Orders("b").mStarts.size(), 2U);
}

/// A start of unknown outcome counts as a crash once no worker can run the
/// task. Counted earlier, a task that runs on a silent worker becomes a
/// suspect.
TEST_F(UnreportedTasksTest, AStartIsNotCountedAsForgottenWhileItMayRun)
{
  StoredProgress progress;
  StoredStep step;
  step.mCrashes.push_back({ 0, {}, 0, kEarlierRun });
  progress.mSteps.push_back(step);
  AddInherited(Graph("job", { Step(1) }), progress);
  mScheduler.ExpectAgents({ { AgentId("a"), true, { Task(0) } } },
                          mNow + seconds(6));
  AttachAndGrant("b");
  EXPECT_TRUE(Orders("b").mStarts.empty());
  EXPECT_FALSE(WasLogged("task-start-forgotten"));
  AdvanceClock(seconds(6));
  Grant("b");
  Orders("b");
  EXPECT_TRUE(WasLogged("task-start-forgotten"));
}

/// The record promises the next owner that nothing starts there any more.
TEST_F(UnreportedTasksTest, NothingStartsWhileTheRecordIsClosed)
{
  AttachAndGrant("a");
  mScheduler.SetRecordClosed(AgentId("a"), true);
  AddSavedJob(Graph("job", { Step(1) }));
  EXPECT_TRUE(Orders("a").mStarts.empty());
  mScheduler.SetRecordClosed(AgentId("a"), false);
  EXPECT_TRUE(mScheduler.NeedsPlacement());
  EXPECT_EQ(Orders("a").mStarts.size(), 1U);
}

TEST_F(UnreportedTasksTest, TheRecordIsClosedWhileTheWorkerDrainsOrIsSilent)
{
  AttachAndGrant("a");
  EXPECT_FALSE(ShouldCloseRecord(Worker("a"), mNow));
  Report("a", Draining(State("a-life")));
  EXPECT_TRUE(ShouldCloseRecord(Worker("a"), mNow));

  AttachAndGrant("b");
  mScheduler.DetachWorker(AgentId("b"), Clock());
  EXPECT_FALSE(ShouldCloseRecord(Worker("b"), mNow));
  AdvanceClock(kCloseAfterDetached);
  EXPECT_TRUE(ShouldCloseRecord(Worker("b"), mNow));
  AttachAndGrant("b");
  EXPECT_FALSE(ShouldCloseRecord(Worker("b"), mNow));
}

/// A task whose end is not saved is still open for the next owner, which would
/// run it a second time if the record did not name it.
TEST_F(UnreportedTasksTest, AClosedRecordNamesRunsAndEndsThatAreNotAcknowledged)
{
  AttachAndGrant("a");
  AddSavedJob(Graph("job", { Step(3) }));
  const OrderRequest orders = Orders("a");
  ASSERT_EQ(orders.mStarts.size(), 3U);
  Started("a", orders);
  const std::vector<TaskRef> all = { Task(0), Task(1), Task(2) };
  EXPECT_EQ(Awaited("a"), all);

  const RunNumber run = orders.mStarts[0].mRun;
  const std::vector<RunningTask> others = {
    Running(Task(1), orders.mStarts[1].mRun),
    Running(Task(2), orders.mStarts[2].mRun)
  };
  Report("a",
         State("a-life", others, { Ended(1, Task(0), run, RunEnd::Done) }));
  EXPECT_EQ(Awaited("a"), all);
  // The worker forgets an end that was acknowledged.
  SaveProgress();
  Report("a", State("a-life", others));
  EXPECT_EQ(Awaited("a"), (std::vector<TaskRef>{ Task(1), Task(2) }));
}

/// A report tells each end once. The record named the ends of the newest report
/// only, and the next owner ran the tasks of earlier ones again.
TEST_F(UnreportedTasksTest, AClosedRecordNamesTheUnsavedEndsOfAllReports)
{
  AttachAndGrant("a");
  AddSavedJob(Graph("job", { Step(3) }));
  const OrderRequest orders = Orders("a");
  Started("a", orders);
  Report("a", State("a-life", RunsOf(orders, 0)));
  for (std::int64_t ended = 1; ended <= 3; ++ended) {
    WorkerChange change;
    const StartOrder& start = orders.mStarts[ended - 1];
    change.mRemoved = { { start.mTask, start.mRun } };
    change.mEnded = { Ended(ended, start.mTask, start.mRun, RunEnd::Done) };
    ReportRequest report = ReportOf("a", {});
    report.mBase = report.mSequence - 1;
    report.mChange = change;
    ASSERT_TRUE(mScheduler.HandleReport(report, Clock()));
    EXPECT_EQ(Awaited("a").size(), 3U);
  }
  SaveProgress();
  EXPECT_TRUE(Awaited("a").empty());
}

/// Nothing runs on a worker that has left, but the next owner must not start
/// what has ended there before its end is saved.
TEST_F(UnreportedTasksTest, UnsavedEndsOfAWorkerThatLeftAreAwaited)
{
  AttachAndGrant("a");
  AddSavedJob(Graph("job", { Step(2) }));
  const OrderRequest orders = Orders("a");
  Started("a", orders);
  WorkerState left = Draining(State(
    "a-life", {}, { Ended(1, Task(0), orders.mStarts[0].mRun, RunEnd::Done) }));
  left.mInfo.mLeft = true;
  Report("a", left);
  EXPECT_TRUE(mScheduler.RunsNothing(AgentId("a")));
  EXPECT_EQ(Awaited("a"), std::vector<TaskRef>{ Task(0) });
  SaveProgress();
  EXPECT_TRUE(Awaited("a").empty());
}

} // namespace

} // namespace foxtailbarrow::cell::test
