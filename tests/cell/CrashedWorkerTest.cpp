#include "tests/cell/CellFixture.h"

namespace foxtailbarrow::cell::test {

namespace {

const TaskRef kFirst{ JobId("job"), 0, 0, 0 };

/// What a crash of a worker does to the tasks that were there.
class CrashedWorkerTest : public CellFixture
{
protected:
  static constexpr int kReportMs = 460;

  /// Starts what the agent is ordered to, and shows it running for so long.
  OrderRequest RunFor(const std::string& aAgent, int aMs)
  {
    const OrderRequest orders = Orders(aAgent);
    Started(aAgent, orders);
    for (const StartOrder& start : orders.mStarts) {
      mRunning[aAgent].push_back(Running(start.mTask, start.mRun));
    }
    for (int passed = 0; passed < aMs; passed += kReportMs) {
      Pass(milliseconds(kReportMs));
      Grant("a");
      Grant("b");
      Report(aAgent, State(mLife, mRunning[aAgent]));
    }
    return orders;
  }

  void Crash(const std::string& aAgent, const std::string& aNext)
  {
    mRunning[aAgent].clear();
    Pass(milliseconds(kReportMs));
    Report(aAgent, State(aNext));
    Record();
  }

  /// All processes die at once, and the next owner places what is open.
  void TakeOverAfterPowerLoss(const WorkerState& aFound = State("a-next"))
  {
    Record();
    const JobEntry& job = mScheduler.Jobs().at(kFirst.mJob);
    const StoredJob stored = job.mStored;
    const StoredProgress progress = ProgressOf(job);
    mScheduler = CellScheduler(++mOwner, mSettings, [](const CellDecision&) {});
    mScheduler.SetQueues({ Policy() });
    mScheduler.AddJob(stored, progress, ++mRevision, Clock());
    Attach("a", aFound);
    Grant("a");
    mScheduler.Schedule(Clock());
  }

  static StoredCrashes Stored(std::int32_t aIndex, CrashHistory::Runs aRuns)
  {
    return { aIndex, std::move(aRuns), 0 };
  }

  const CrashHistory& Crashes(const TaskRef& aTask) const
  {
    return mScheduler.Jobs().at(aTask.mJob).Find(aTask)->mCrashes;
  }

  Generation mOwner = kGeneration;
  std::map<std::string, std::vector<RunningTask>> mRunning;
  std::string mLife = "a-life"; ///< Incarnation of the worker that runs.
};

TEST_F(CrashedWorkerTest, WhatHadLivedIsNotSuspected)
{
  AttachAndGrant("a");
  AddRecorded(Graph("job", { Step(1) }));
  RunFor("a", 3000);
  Crash("a", "next");
  EXPECT_TRUE(Crashes(kFirst).Empty());
  EXPECT_EQ(Orders("a").mStarts.size(), 1U);
}

TEST_F(CrashedWorkerTest, OnlyWhatHadJustStartedIsSuspected)
{
  AttachAndGrant("a");
  AddRecorded(Graph("old", { Step(1) }));
  RunFor("a", 3000);
  AddRecorded(Graph("job", { Step(1) }));
  RunFor("a", 0);
  Crash("a", "next");
  EXPECT_TRUE(Crashes(kFirst).Suspect());
  EXPECT_TRUE(Crashes({ JobId("old"), 0, 0, 0 }).Empty());
}

TEST_F(CrashedWorkerTest, AWorkerThatSaidThatItLeavesHasNotCrashed)
{
  AttachAndGrant("a");
  AddRecorded(Graph("job", { Step(1) }));
  RunFor("a", 0);
  WorkerState draining = State("a-life", mRunning["a"]);
  draining.mInfo.mDraining = true;
  Report("a", draining);
  Crash("a", "next");
  EXPECT_TRUE(Crashes(kFirst).Empty());
}

TEST_F(CrashedWorkerTest, AStartThatWasNotSentIsNotSuspected)
{
  AttachAndGrant("a");
  AddRecorded(Graph("job", { Step(1) }));
  mScheduler.Schedule(Clock());
  Crash("a", "next");
  EXPECT_TRUE(Crashes(kFirst).Empty());
}

/// Two crashes by chance met a sound standing task about a second after its
/// starts.
TEST_F(CrashedWorkerTest, CrashesThatComeLaterDoNotFailTheJob)
{
  StepSpec standing = Step(1);
  standing.mStanding = true;
  AttachAndGrant("a");
  AddRecorded(Graph("job", { standing }));
  for (int life = 0; life < 4; ++life) {
    RunFor("a", 1000);
    Crash("a", "a-life" + std::string(static_cast<std::size_t>(life) + 1, '+'));
    mLife = "a-life" + std::string(static_cast<std::size_t>(life) + 1, '+');
  }
  EXPECT_EQ(mScheduler.PhaseOf(JobId("job")), JobPhase::Running);
}

/// A worker that went dark before takes no start, and answers none.
TEST_F(CrashedWorkerTest, StartsWithoutAnAnswerDoNotFailTheJob)
{
  AttachAndGrant("a");
  AddRecorded(Graph("job", { Step(1) }));
  for (int life = 0; life < 4; ++life) {
    ASSERT_EQ(Orders("a").mStarts.size(), 1U);
    Crash("a", "life" + std::to_string(life));
  }
  EXPECT_TRUE(Crashes(kFirst).Suspect());
  EXPECT_EQ(mScheduler.PhaseOf(JobId("job")), JobPhase::Queued);
}

TEST_F(CrashedWorkerTest, SuspectsAreTriedApart)
{
  AttachAndGrant("a");
  AddRecorded(Graph("job", { Step(1) }));
  AddRecorded(Graph("job2", { Step(1) }));
  RunFor("a", 0);
  Crash("a", "next");
  EXPECT_EQ(Orders("a").mStarts.size(), 1U);
  AttachAndGrant("b");
  AttachAndGrant("c");
  AttachAndGrant("d");
  mScheduler.Schedule(Clock());
  EXPECT_EQ(mScheduler.AgentsWithOrders().size(), 1U);
  for (const char* agent : { "b", "c", "d" }) {
    Started(agent, mScheduler.TakeOrders(AgentId(agent)));
  }
  // All take what nothing speaks against.
  AddRecorded(Graph("job3", { Step(1) }));
  mScheduler.Schedule(Clock());
  EXPECT_EQ(mScheduler.AgentsWithOrders().size(), 1U);
}

TEST_F(CrashedWorkerTest, NothingElseIsStartedBesideAStrongSuspect)
{
  StoredProgress progress;
  progress.mSteps.push_back(
    { 0, 0, "", {}, {}, { Stored(0, { .mLikely = { 1, 2 } }) } });
  AddInherited(Graph("job", { Step(1) }), progress);
  AttachAndGrant("a");
  EXPECT_EQ(Orders("a").mStarts.size(), 1U);
  AddRecorded(Graph("job2", { Step(1) }));
  EXPECT_TRUE(Orders("a").mStarts.empty());
}

/// In the soak a task was started a sixth time: its first crash was forgotten
/// with all processes, and twice it was tried on a worker that had started
/// others 0.2 s before. The crashes spoke against those as well:
/// "worker-crashed likely=2 beside=2".
TEST_F(CrashedWorkerTest, AStrongSuspectIsTriedBesideProvenTasksOnly)
{
  AttachAndGrant("a");
  AddRecorded(Graph("other", { Step(1) }));
  RunFor("a", 0);
  StoredProgress progress;
  progress.mSteps.push_back(
    { 0, 0, "", {}, {}, { Stored(0, { .mLikely = { 1, 2 } }) } });
  AddInherited(Graph("job", { Step(1) }), progress);
  EXPECT_TRUE(Orders("a").mStarts.empty());
  // Nothing else is started there meanwhile, or it would wait for ever.
  AddRecorded(Graph("job2", { Step(1) }));
  EXPECT_TRUE(Orders("a").mStarts.empty());
  RunFor("a", 600);
  const OrderRequest orders = RunFor("a", 0);
  ASSERT_EQ(orders.mStarts.size(), 1U);
  EXPECT_EQ(orders.mStarts.front().mTask, kFirst);
  Crash("a", "next");
  EXPECT_EQ(Crashes(kFirst).Crashes().mAlone.size(), 1U);
}

/// The worker that was kept free for it went away.
TEST_F(CrashedWorkerTest, AReservationForASuspectLapses)
{
  AttachAndGrant("a");
  AddRecorded(Graph("other", { Step(1) }));
  RunFor("a", 0);
  StoredProgress progress;
  progress.mSteps.push_back(
    { 0, 0, "", {}, {}, { Stored(0, { .mLikely = { 1, 2 } }) } });
  AddInherited(Graph("job", { Step(1) }), progress);
  EXPECT_TRUE(Orders("a").mStarts.empty());
  mScheduler.CancelJob(JobId("job"), Clock());
  AddRecorded(Graph("job2", { Step(1) }));
  Pass(seconds(3));
  Grant("a");
  EXPECT_EQ(Orders("a").mStarts.size(), 1U);
}

TEST_F(CrashedWorkerTest, ASuspectIsTriedWhereLeastWouldBeLost)
{
  AttachAndGrant("a");
  AttachAndGrant("b");
  AddRecorded(Graph("job", { Step(1) }));
  const std::string first = Orders("a").mStarts.empty() ? "b" : "a";
  const std::string other = first == "a" ? "b" : "a";
  Report(first, State("next"));
  Record();
  // The worker that has crashed is empty, but not tried again.
  EXPECT_EQ(Orders(other).mStarts.size(), 1U);
}

TEST_F(CrashedWorkerTest, ATaskThatEndsDoneIsCleared)
{
  AttachAndGrant("a");
  AddRecorded(Graph("job", { Step(2) }));
  RunFor("a", 0);
  Crash("a", "next");
  EXPECT_EQ(mScheduler.Jobs().at(JobId("job")).mSuspects.size(), 2U);
  const OrderRequest trial = Orders("a");
  ASSERT_EQ(trial.mStarts.size(), 1U); // One suspect of a job at a time.
  Started("a", trial);
  Report("a",
         State("next",
               {},
               { Ended(1, kFirst, trial.mStarts[0].mRun, RunEnd::Done) }));
  Record();
  EXPECT_EQ(mScheduler.Jobs().at(JobId("job")).mSuspects.size(), 1U);
  EXPECT_EQ(Orders("a").mStarts.size(), 1U);
}

TEST_F(CrashedWorkerTest, AStandingTaskThatLivesIsCleared)
{
  StepSpec standing = Step(1);
  standing.mStanding = true;
  AttachAndGrant("a");
  AddRecorded(Graph("job", { standing }));
  RunFor("a", 0);
  Crash("a", "a-life"); // Its incarnation is the same: no crash.
  EXPECT_TRUE(Crashes(kFirst).Empty());
  RunFor("a", 0);
  Crash("a", "second");
  ASSERT_TRUE(Crashes(kFirst).Suspect());
  const OrderRequest trial = Orders("a");
  Started("a", trial);
  for (int tick = 0; tick < 6; ++tick) {
    Pass(milliseconds(kReportMs));
    Grant("a");
    Report("a", State("second", { Running(kFirst, trial.mStarts[0].mRun) }));
  }
  EXPECT_FALSE(Crashes(kFirst).Suspect());
  EXPECT_TRUE(Happened("task-cleared"));
}

TEST_F(CrashedWorkerTest, AJobThatWillLikelyBeGivenUpStartsNothingElse)
{
  StoredProgress progress;
  progress.mSteps.push_back(
    { 0, 0, "", {}, {}, { Stored(0, { .mLikely = { 1, 2 } }) } });
  AddInherited(Graph("job", { Step(3) }), progress);
  AttachAndGrant("a");
  const OrderRequest orders = Orders("a");
  ASSERT_EQ(orders.mStarts.size(), 1U);
  EXPECT_EQ(orders.mStarts[0].mTask, kFirst);
}

/// Two tasks of one job, each of which speaks for holding the other back.
TEST_F(CrashedWorkerTest, StrongSuspectsOfOneJobAreTriedOneByOne)
{
  StoredProgress progress;
  progress.mSteps.push_back({ 0,
                              0,
                              "",
                              {},
                              {},
                              { Stored(0, { .mLikely = { 1, 2 } }),
                                Stored(1, { .mLikely = { 1, 2 } }) } });
  AddInherited(Graph("job", { Step(2) }), progress);
  AttachAndGrant("a");
  const OrderRequest orders = Orders("a");
  ASSERT_EQ(orders.mStarts.size(), 1U);
  Started("a", orders);
  Report("a",
         State("a-life",
               {},
               { Ended(1, kFirst, orders.mStarts[0].mRun, RunEnd::Done) }));
  EXPECT_EQ(Orders("a").mStarts.size(), 1U);
}

/// The members of a gang end together, by the end of any of them.
TEST_F(CrashedWorkerTest, ASuspectThatIsDoneHoldsNothingBack)
{
  StepSpec gang = Step(2);
  gang.mGang = true;
  StepSpec second = Step(1);
  second.mAfter = { 0 };
  StoredProgress progress;
  progress.mSteps.push_back(
    { 0, 0, "", {}, {}, { Stored(1, { .mLikely = { 1, 2 } }) } });
  AddInherited(Graph("job", { gang, second }), progress);
  AttachAndGrant("a");
  AttachAndGrant("b");
  mScheduler.Schedule(Clock());
  RunNumber run = 0;
  for (const char* agent : { "a", "b" }) {
    const OrderRequest orders = mScheduler.TakeOrders(AgentId(agent));
    ASSERT_EQ(orders.mStarts.size(), 1U);
    run = orders.mStarts[0].mRun;
    Started(agent, orders);
  }
  const JobEntry& job = mScheduler.Jobs().at(JobId("job"));
  const std::string first = job.Find(kFirst)->mRuns.front().mAgent.Value();
  Report(first,
         State(first + "-life", {}, { Ended(1, kFirst, run, RunEnd::Done) }));
  Record();
  EXPECT_EQ(Orders(first).mStarts.size(), 1U);
}

TEST_F(CrashedWorkerTest, ANextOwnerCountsWhatTheAgentRemembers)
{
  StoredProgress progress;
  progress.mSteps.push_back(
    { 0, 0, "", {}, {}, { Stored(0, { .mLikely = { 1, 2 } }) } });
  AddInherited(Graph("job", { Step(1) }), progress);
  WorkerState state = State("a-life");
  state.mCrashes = { { { { kFirst, 2, {}, true } } },
                     { { { kFirst, 3, {}, true } } } };
  Attach("a", state);
  Grant("a");
  EXPECT_TRUE(Orders("a").mStarts.empty());
  Record();
  EXPECT_EQ(mScheduler.PhaseOf(JobId("job")), JobPhase::Failed);
}

/// In the soak all processes were killed twice just after a task had taken its
/// worker down: nobody remembered either crash, and it was started a sixth time
/// ("workers-crashed alone=2 likely=0 beside=2 unconfirmed=0").
TEST_F(CrashedWorkerTest, AStartThatAllForgotSpeaksAgainstASuspect)
{
  StoredProgress progress;
  progress.mSteps.push_back(
    { 0, 0, "", {}, {}, { Stored(0, { .mBeside = { 1 } }) } });
  AddInherited(Graph("job", { Step(1) }), progress);
  AttachAndGrant("a");
  RunFor("a", 0);
  TakeOverAfterPowerLoss();
  EXPECT_EQ(Crashes(kFirst).Count(), 2U);
  // It counts once, by whoever takes over next.
  TakeOverAfterPowerLoss();
  EXPECT_LE(Crashes(kFirst).Count(), 3U);
}

/// The run went on, or its end was listed: nothing is forgotten.
TEST_F(CrashedWorkerTest, AStartThatAnAgentStillKnowsIsNotForgotten)
{
  StoredProgress progress;
  progress.mSteps.push_back(
    { 0, 0, "", {}, {}, { Stored(0, { .mBeside = { 1 } }) } });
  AddInherited(Graph("job", { Step(1) }), progress);
  AttachAndGrant("a");
  const OrderRequest orders = RunFor("a", 0);
  const RunNumber run = orders.mStarts.at(0).mRun;
  TakeOverAfterPowerLoss(
    State("a-life", {}, { Ended(1, kFirst, run, RunEnd::Failed) }));
  EXPECT_EQ(Crashes(kFirst).Count(), 1U);
}

TEST_F(CrashedWorkerTest, FromTheSecondCrashOnTheRecordComesBeforeTheStart)
{
  StoredProgress progress;
  progress.mSteps.push_back(
    { 0, 0, "", {}, {}, { Stored(0, { .mBeside = { 1 } }) } });
  AddInherited(Graph("job", { Step(1) }), progress);
  AttachAndGrant("a");
  RunFor("a", 0);
  mRunning["a"].clear();
  Report("a", State("second"));
  EXPECT_TRUE(Orders("a").mStarts.empty());
  Record();
  EXPECT_EQ(Orders("a").mStarts.size(), 1U);
}

TEST_F(CrashedWorkerTest, AGangWithSuspectsStartsOnWorkersOfTheirOwn)
{
  StepSpec gang = Step(2);
  gang.mGang = true;
  AttachAndGrant("a");
  AddRecorded(Graph("job", { gang }));
  RunFor("a", 0);
  Crash("a", "next");
  EXPECT_TRUE(Orders("a").mStarts.empty()); // Two suspects, one worker.
  AttachAndGrant("b");
  mScheduler.Schedule(Clock());
  EXPECT_EQ(mScheduler.AgentsWithOrders().size(), 2U);
}

TEST_F(CrashedWorkerTest, ASilentWorkerThatIsThereAgainHasNotCrashed)
{
  AttachAndGrant("a");
  AddRecorded(Graph("job", { Step(1) }));
  RunFor("a", 0);
  mScheduler.DetachWorker(AgentId("a"), Clock());
  Pass(seconds(5));
  mScheduler.Schedule(Clock());
  EXPECT_TRUE(Happened("task-lost"));
  Attach("a", State("a-life"));
  EXPECT_TRUE(Crashes(kFirst).Empty());
  EXPECT_TRUE(Crashes(kFirst).MayStart(mNow));
}

} // namespace

} // namespace foxtailbarrow::cell::test
