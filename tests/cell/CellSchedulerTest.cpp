#include "tests/cell/CellFixture.h"

namespace foxtailbarrow::cell::test {

namespace {

const TaskRef kFirst{ JobId("job"), 0, 0, 0 };

class CellSchedulerTest : public CellFixture
{};

TEST_F(CellSchedulerTest, NothingStartsBeforeTheProgressIsSaved)
{
  AttachAndGrant("a");
  mScheduler.AddJob(
    { Graph("job", { Step(1) }), mUnixMs, false }, {}, 0, Clock());
  EXPECT_TRUE(Orders("a").mStarts.empty());
  SaveProgress();
  EXPECT_EQ(Orders("a").mStarts.size(), 1U);
}

TEST_F(CellSchedulerTest, AStepWaitsForItsDependencies)
{
  StepSpec second = Step(1);
  second.mAfter = { 0 };
  AttachAndGrant("a");
  AddSavedJob(Graph("job", { Step(2), second }));
  const OrderRequest first = Orders("a");
  ASSERT_EQ(first.mStarts.size(), 2U);
  Started("a", first);
  Report("a",
         State("a-life",
               { Running(first.mStarts[1].mTask, first.mStarts[1].mRun) },
               { Ended(1, kFirst, first.mStarts[0].mRun, RunEnd::Done) }));
  EXPECT_TRUE(Orders("a").mStarts.empty());
  Report(
    "a",
    State(
      "a-life",
      {},
      { Ended(1, kFirst, first.mStarts[0].mRun, RunEnd::Done),
        Ended(
          2, first.mStarts[1].mTask, first.mStarts[1].mRun, RunEnd::Done) }));
  const OrderRequest next = Orders("a");
  ASSERT_EQ(next.mStarts.size(), 1U);
  EXPECT_EQ(next.mStarts[0].mTask.mStep, 1);
}

TEST_F(CellSchedulerTest, ReservationsNeverExceedTheCapacity)
{
  AttachAndGrant("a");
  AddSavedJob(Graph("job", { Step(20, 1500) }));
  EXPECT_EQ(Orders("a").mStarts.size(), 5U); // 5 x 1500 of 8000 millicores
}

TEST_F(CellSchedulerTest, BestEffortTasksReserveOnlyMemory)
{
  StepSpec step = Step(30, 4000);
  step.mBestEffort = true;
  step.mDemand.mMemoryMb = 32'000;
  AttachAndGrant("a");
  AddSavedJob(Graph("job", { step }));
  EXPECT_EQ(Orders("a").mStarts.size(), 2U); // 2 x 32000 of 64000 MB
}

TEST_F(CellSchedulerTest, AnEndIsAcknowledgedAfterItsProgressIsSaved)
{
  AttachAndGrant("a");
  AddSavedJob(Graph("job", { Step(2) }));
  const OrderRequest orders = Orders("a");
  Started("a", orders);
  Report("a",
         State("a-life",
               { Running(orders.mStarts[1].mTask, orders.mStarts[1].mRun) },
               { Ended(1, kFirst, orders.mStarts[0].mRun, RunEnd::Done) }));
  EXPECT_EQ(mScheduler.Acknowledged(AgentId("a")), 0);
  SaveProgress();
  EXPECT_EQ(mScheduler.Acknowledged(AgentId("a")), 1);
}

TEST_F(CellSchedulerTest, AJobFailsAfterItsAttempts)
{
  mScheduler.SetQueues({ Policy(2) });
  AttachAndGrant("a");
  AddSavedJob(Graph("job", { Step(1) }));
  std::vector<EndedTask> ended;
  for (int attempt = 1; attempt <= 2; ++attempt) {
    const OrderRequest orders = Orders("a");
    ASSERT_EQ(orders.mStarts.size(), 1U);
    Started("a", orders);
    ended.push_back(
      Ended(attempt, kFirst, orders.mStarts[0].mRun, RunEnd::Failed));
    Report("a", State("a-life", {}, ended));
  }
  SaveProgress();
  EXPECT_EQ(mScheduler.PhaseOf(JobId("job")), JobPhase::Failed);
  EXPECT_TRUE(Orders("a").mStarts.empty());
}

TEST_F(CellSchedulerTest, AFailureThatAnEarlierOwnerSavedCountsOnce)
{
  mScheduler.SetQueues({ Policy(2) });
  StoredProgress progress;
  progress.mSteps.push_back({ 0, 0, "", { { 0, { kEarlierRun } } }, {} });
  AddInherited(Graph("job", { Step(1) }), progress);
  Attach(
    "a",
    State("a-life", {}, { Ended(1, kFirst, kEarlierRun, RunEnd::Failed) }));
  SaveProgress();
  EXPECT_EQ(mScheduler.PhaseOf(JobId("job")), JobPhase::Queued);
}

TEST_F(CellSchedulerTest, FailuresOfAnEarlierOwnerCountInAnyOrder)
{
  mScheduler.SetQueues({ Policy(3) });
  AddInherited(Graph("job", { Step(1) }));
  // The agent of the newest run attaches first.
  for (int run = 3; run > 0; --run) {
    const std::string agent(1, static_cast<char>('a' + run));
    Attach(agent,
           State(agent + "-life",
                 {},
                 { Ended(1, kFirst, kEarlierRun + run, RunEnd::Failed) }));
  }
  SaveProgress();
  EXPECT_EQ(mScheduler.PhaseOf(JobId("job")), JobPhase::Failed);
}

TEST_F(CellSchedulerTest, ACancelledJobsTasksAreStopped)
{
  AttachAndGrant("a");
  AddSavedJob(Graph("job", { Step(2) }));
  Started("a", Orders("a"));
  mScheduler.CancelJob(JobId("job"), Clock());
  EXPECT_EQ(Orders("a").mStops.size(), 2U);
  SaveProgress();
  EXPECT_EQ(mScheduler.PhaseOf(JobId("job")), JobPhase::Cancelled);
}

TEST_F(CellSchedulerTest, AnEarlierOwnersRunIsAdopted)
{
  AddInherited(Graph("job", { Step(1) }));
  Attach("a", State("a-life", { Running(kFirst, kEarlierRun) }));
  AttachAndGrant("b");
  const OrderRequest orders = Orders("a");
  EXPECT_TRUE(orders.mStarts.empty());
  EXPECT_EQ(orders.mMetadata.size(), 1U);
  EXPECT_TRUE(Orders("b").mStarts.empty());
}

/// A restarted agent knows nothing of its worker's tasks. Without their
/// metadata it throttles no best-effort task colocated with a serving one, and
/// counts no capacity as reserved.
TEST_F(CellSchedulerTest, ANewSessionSendsTheMetadataOfRunningTasks)
{
  AttachAndGrant("a");
  StepSpec bestEffort = Step(2);
  bestEffort.mBestEffort = true;
  bestEffort.mImage = "image";
  AddSavedJob(Graph("job", { bestEffort }));
  const OrderRequest first = Orders("a");
  Started("a", first);
  ASSERT_EQ(first.mStarts.size(), 2U);
  EXPECT_TRUE(Orders("a").mMetadata.empty());
  Attach("a",
         State("a-life",
               { Running(first.mStarts[0].mTask, first.mStarts[0].mRun),
                 Running(first.mStarts[1].mTask, first.mStarts[1].mRun) }));
  const OrderRequest next = Orders("a");
  ASSERT_EQ(next.mMetadata.size(), 2U);
  EXPECT_TRUE(next.mMetadata[0].mBestEffort);
  EXPECT_EQ(next.mMetadata[0].mImage, "image");
  EXPECT_EQ(next.mMetadata[0].mReserved, Resources({ 0, 1000, 0 }));
}

TEST_F(CellSchedulerTest, AnAdoptedRunKeepsTheEarlierGrantAfterItsSession)
{
  AddInherited(Graph("job", { Step(1) }));
  Attach("a", State("a-life", { Running(kFirst, kEarlierRun) }));
  AttachAndGrant("b");
  // The session breaks before this owner has granted anything.
  mScheduler.DetachWorker(AgentId("a"), Clock());
  EXPECT_TRUE(Orders("b").mStarts.empty());
  AdvanceClock(mSettings.mMaxTaskLease - milliseconds(10));
  Grant("b");
  EXPECT_TRUE(Orders("b").mStarts.empty());
  AdvanceClock(mSettings.mLeaseMargin + milliseconds(20));
  EXPECT_EQ(Orders("b").mStarts.size(), 1U);
}

TEST_F(CellSchedulerTest, InheritedTasksWaitForAgentsThatHaveNotReported)
{
  AddInherited(Graph("job", { Step(1) }));
  mScheduler.ExpectAgents({ { AgentId("a") }, { AgentId("b") } },
                          mNow + mSettings.mOwnershipTimeout);
  AttachAndGrant("b");
  EXPECT_TRUE(Orders("b").mStarts.empty());
  // A job that no earlier owner can have started does not wait.
  AddSavedJob(Graph("new", { Step(1) }));
  const OrderRequest orders = Orders("b");
  ASSERT_EQ(orders.mStarts.size(), 1U);
  EXPECT_EQ(orders.mStarts[0].mTask.mJob, JobId("new"));
  Started("b", orders);
  AdvanceClock(mSettings.mOwnershipTimeout);
  Grant("b");
  EXPECT_EQ(Orders("b").mStarts.size(), 1U);
}

/// A fresh task may have caused the crash, and waits until the crash is saved.
TEST_F(CellSchedulerTest, ARestartedWorkersTasksStartAgainAtOnce)
{
  for (const bool fresh : { true, false }) {
    SCOPED_TRACE(fresh ? "fresh" : "proven");
    const std::string job = fresh ? "fresh" : "proven";
    const std::string incarnation = job + "-life";
    Attach("a", State(incarnation));
    Grant("a");
    AddSavedJob(Graph(job, { Step(1) }));
    const OrderRequest orders = Orders("a");
    ASSERT_EQ(orders.mStarts.size(), 1U);
    Started("a", orders);
    if (!fresh) {
      AdvanceClock(seconds(2));
      Grant("a");
      const StartOrder& order = orders.mStarts[0];
      Report("a", State(incarnation, { Running(order.mTask, order.mRun) }));
    }
    Report("a", State(job + "-second-life"));
    if (fresh) {
      SaveProgress();
    }
    const OrderRequest again = Orders("a");
    ASSERT_EQ(again.mStarts.size(), 1U);
    Started("a", again);
    Report(
      "a",
      State(
        job + "-second-life",
        {},
        { Ended(
          1, again.mStarts[0].mTask, again.mStarts[0].mRun, RunEnd::Done) }));
    SaveProgress();
  }
}

TEST_F(CellSchedulerTest, AnEndAfterTheLeaseExpiredIsIgnored)
{
  AttachAndGrant("a");
  AddSavedJob(Graph("job", { Step(1) }));
  const OrderRequest orders = Orders("a");
  Started("a", orders);
  mScheduler.DetachWorker(AgentId("a"), Clock());
  AdvanceClock(mSettings.mMaxTaskLease + mSettings.mLeaseMargin +
               milliseconds(1));
  AttachAndGrant("b");
  ASSERT_EQ(Orders("b").mStarts.size(), 1U);
  Attach("a",
         State("a-life",
               {},
               { Ended(1, kFirst, orders.mStarts[0].mRun, RunEnd::Done) }));
  SaveProgress();
  EXPECT_TRUE(WasLogged("task-end-ignored"));
  EXPECT_EQ(mScheduler.PhaseOf(JobId("job")), JobPhase::Running);
}

TEST_F(CellSchedulerTest, AWorkerThatFailsSeveralJobsIsAvoided)
{
  AttachAndGrant("a");
  std::vector<EndedTask> ended;
  for (int number = 1; number <= 2; ++number) {
    const std::string id = "job-" + std::to_string(number);
    AddSavedJob(Graph(id, { Step(1) }));
    const OrderRequest orders = Orders("a");
    ASSERT_FALSE(orders.mStarts.empty());
    Started("a", orders);
    for (const StartOrder& order : orders.mStarts) {
      ended.push_back(Ended(static_cast<std::int64_t>(ended.size()) + 1,
                            order.mTask,
                            order.mRun,
                            RunEnd::Failed));
    }
    Report("a", State("a-life", {}, ended));
  }
  EXPECT_TRUE(WasLogged("worker-avoided"));
  EXPECT_TRUE(Orders("a").mStarts.empty());
}

TEST_F(CellSchedulerTest, AnOccurrenceStartsWhenItIsDue)
{
  JobGraph graph = Graph("job", { Step(1) });
  graph.mRecurrence = { 2, mUnixMs + 500, 1000 };
  AttachAndGrant("a");
  AddSavedJob(graph);
  EXPECT_TRUE(Orders("a").mStarts.empty());
  AdvanceClock(milliseconds(500));
  EXPECT_EQ(Orders("a").mStarts.size(), 1U);
  AdvanceClock(milliseconds(1000));
  EXPECT_EQ(Orders("a").mStarts.size(), 1U);
}

TEST_F(CellSchedulerTest, ForeignTasksAreStoppedBeforeTheWorkerIsUsed)
{
  Attach("a", State("a-life", { Running({ JobId("old"), 0, 0, 0 }, 5) }));
  Grant("a");
  AddSavedJob(Graph("job", { Step(1) }));
  const OrderRequest orders = Orders("a");
  EXPECT_EQ(orders.mStops.size(), 1U);
  EXPECT_TRUE(orders.mStarts.empty());
  Report("a", State("a-life"));
  EXPECT_EQ(Orders("a").mStarts.size(), 1U);
}

TEST_F(CellSchedulerTest, AStalledTaskGetsACopyIfCopiesAreAllowed)
{
  StepSpec step = Step(1);
  step.mSpeculative = true;
  AttachAndGrant("a");
  AttachAndGrant("b");
  AddSavedJob(Graph("job", { step }));
  const OrderRequest first = Orders("a");
  ASSERT_EQ(first.mStarts.size(), 1U);
  Started("a", first);
  EXPECT_TRUE(Orders("b").mStarts.empty());
  AdvanceClock(std::max(mSettings.mCopyAfter, kProvenUptime) + milliseconds(1));
  EXPECT_TRUE(Orders("b").mStarts.empty());
  AdvanceClock(mSettings.mRunReviewInterval);
  Report("a", State("a-life", { Running(kFirst, first.mStarts[0].mRun) }));
  const OrderRequest copy = Orders("b");
  ASSERT_EQ(copy.mStarts.size(), 1U);
  Started("b", copy);
  // The first to finish counts; the other is stopped.
  Report("b",
         State("b-life",
               {},
               { Ended(1, kFirst, copy.mStarts[0].mRun, RunEnd::Done) }));
  EXPECT_EQ(Orders("a").mStops.size(), 1U);
  SaveProgress();
  EXPECT_EQ(mScheduler.PhaseOf(JobId("job")), JobPhase::Completed);
}

TEST_F(CellSchedulerTest, ATaskWithoutCopiesHasOneRun)
{
  AttachAndGrant("a");
  AttachAndGrant("b");
  AddSavedJob(Graph("job", { Step(1) }));
  Started("a", Orders("a"));
  AdvanceClock(seconds(3));
  EXPECT_TRUE(Orders("b").mStarts.empty());
}

struct PlacementCase
{
  const char* mName;
  std::int32_t mMaxPerWorker;
  const char* mLabel;
  std::size_t mStarts;
};

class PlacementRules
  : public CellFixture
  , public testing::WithParamInterface<PlacementCase>
{};

TEST_P(PlacementRules, BoundWhatAWorkerTakes)
{
  StepSpec step = Step(4, 500);
  step.mMaxPerWorker = GetParam().mMaxPerWorker;
  step.mRequiredLabel = GetParam().mLabel;
  AttachAndGrant("a");
  AddSavedJob(Graph("job", { step }));
  EXPECT_EQ(Orders("a").mStarts.size(), GetParam().mStarts);
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  PlacementRules,
  testing::Values(PlacementCase{ "Free", 0, "", 4 },
                  PlacementCase{ "TwoPerWorker", 2, "", 2 },
                  PlacementCase{ "LabelPresent", 0, "kind", 4 },
                  PlacementCase{ "LabelMissing", 0, "other", 0 }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

/// A scheduler may lead before it can read a configuration. It took the number
/// of attempts of an unknown queue for one, and failed the job.
TEST_F(CellSchedulerTest, AJobOfAnUnknownQueueDoesNotFail)
{
  AttachAndGrant("a");
  AddSavedJob(Graph("job", { Step(1) }));
  const OrderRequest orders = Orders("a");
  Started("a", orders);
  CellScheduler next(kGeneration + 1, mSettings, [](const CellDecision&) {});
  next.AddJob({ Graph("job", { Step(1) }), mUnixMs, false }, {}, 7, Clock());
  const TaskRef task = orders.mStarts[0].mTask;
  const AgentId agent("a");
  const auto fail = [&](std::int64_t aNumber, RunNumber aRun) {
    next.AttachWorker(
      agent,
      { "127.0.0.1", 1 },
      aNumber,
      State("a-life", {}, { Ended(aNumber, task, aRun, RunEnd::Failed) }),
      Clock());
  };
  fail(1, orders.mStarts[0].mRun);
  next.Schedule(Clock());
  EXPECT_EQ(next.Jobs().at(JobId("job")).mPhase, JobPhase::Queued);
  // Once its queue is known, what has failed counts.
  next.SetQueues({ Policy(1) });
  EXPECT_TRUE(next.NeedsPlacement());
  next.OnGrant(agent, mNow + mSettings.mMaxTaskLease);
  next.Schedule(Clock());
  EXPECT_EQ(next.Jobs().at(JobId("job")).mPhase, JobPhase::Failed);
  EXPECT_TRUE(next.TakeOrders(agent).mStarts.empty());
}

} // namespace

} // namespace foxtailbarrow::cell::test
