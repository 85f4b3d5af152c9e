#include "tests/cell/CrashFixture.h"

namespace foxtailbarrow::cell::test {

namespace {

/// Effects of a worker crash on the tasks that ran there.
class CrashedWorkerTest : public CrashFixture
{};

TEST_F(CrashedWorkerTest, ProvenRunsAreNotSuspected)
{
  AttachAndGrant("a");
  AddSavedJob(Graph("job", { Step(1) }));
  RunFor("a", 3000);
  Crash("a", "next");
  EXPECT_TRUE(Crashes(kFirst).Empty());
  EXPECT_EQ(Orders("a").mStarts.size(), 1U);
}

TEST_F(CrashedWorkerTest, OnlyFreshRunsAreSuspected)
{
  AttachAndGrant("a");
  AddSavedJob(Graph("old", { Step(1) }));
  RunFor("a", 3000);
  AddSavedJob(Graph("job", { Step(1) }));
  RunFor("a", 0);
  Crash("a", "next");
  EXPECT_TRUE(Crashes(kFirst).Suspect());
  EXPECT_TRUE(Crashes({ JobId("old"), 0, 0, 0 }).Empty());
}

TEST_F(CrashedWorkerTest, ADrainingWorkerHasNotCrashed)
{
  AttachAndGrant("a");
  AddSavedJob(Graph("job", { Step(1) }));
  RunFor("a", 0);
  WorkerState draining = State("a-life", mRunning["a"]);
  draining.mInfo.mDraining = true;
  Report("a", draining);
  Crash("a", "next");
  EXPECT_TRUE(Crashes(kFirst).Empty());
}

TEST_F(CrashedWorkerTest, UnsentStartsAreNotSuspected)
{
  AttachAndGrant("a");
  AddSavedJob(Graph("job", { Step(1) }));
  mScheduler.Schedule(Clock());
  Crash("a", "next");
  EXPECT_TRUE(Crashes(kFirst).Empty());
}

/// Unrelated crashes can hit a sound standing task about a second after each of
/// its starts.
TEST_F(CrashedWorkerTest, CrashesLaterInARunDoNotFailTheJob)
{
  StepSpec standing = Step(1);
  standing.mStanding = true;
  AttachAndGrant("a");
  AddSavedJob(Graph("job", { standing }));
  for (int crash = 0; crash < 4; ++crash) {
    RunFor("a", 1000);
    Crash("a",
          "a-life" + std::string(static_cast<std::size_t>(crash) + 1, '+'));
    mWorkerIncarnation =
      "a-life" + std::string(static_cast<std::size_t>(crash) + 1, '+');
  }
  EXPECT_EQ(mScheduler.PhaseOf(JobId("job")), JobPhase::Running);
}

/// The starts are sent to a worker that is down already.
TEST_F(CrashedWorkerTest, UnansweredStartsDoNotFailTheJob)
{
  AttachAndGrant("a");
  AddSavedJob(Graph("job", { Step(1) }));
  for (int crash = 0; crash < 4; ++crash) {
    ASSERT_EQ(Orders("a").mStarts.size(), 1U);
    Crash("a", "life" + std::to_string(crash));
  }
  EXPECT_TRUE(Crashes(kFirst).Suspect());
  EXPECT_EQ(mScheduler.PhaseOf(JobId("job")), JobPhase::Queued);
}

TEST_F(CrashedWorkerTest, ADoneTaskIsCleared)
{
  AttachAndGrant("a");
  AddSavedJob(Graph("job", { Step(2) }));
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
  SaveProgress();
  EXPECT_EQ(mScheduler.Jobs().at(JobId("job")).mSuspects.size(), 1U);
  EXPECT_EQ(Orders("a").mStarts.size(), 1U);
}

TEST_F(CrashedWorkerTest, AProvenStandingTaskIsCleared)
{
  StepSpec standing = Step(1);
  standing.mStanding = true;
  AttachAndGrant("a");
  AddSavedJob(Graph("job", { standing }));
  RunFor("a", 0);
  Crash("a", "a-life"); // Same incarnation: no crash.
  EXPECT_TRUE(Crashes(kFirst).Empty());
  RunFor("a", 0);
  Crash("a", "second");
  ASSERT_TRUE(Crashes(kFirst).Suspect());
  const OrderRequest trial = Orders("a");
  Started("a", trial);
  for (int tick = 0; tick < 6; ++tick) {
    AdvanceClock(milliseconds(kReportMs));
    Grant("a");
    Report("a", State("second", { Running(kFirst, trial.mStarts[0].mRun) }));
  }
  EXPECT_FALSE(Crashes(kFirst).Suspect());
  EXPECT_TRUE(WasLogged("task-cleared"));
}

TEST_F(CrashedWorkerTest, ANextOwnerCountsCrashesThatTheAgentRemembers)
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
  SaveProgress();
  EXPECT_EQ(mScheduler.PhaseOf(JobId("job")), JobPhase::Failed);
}

/// If all processes are lost just after a task crashed its worker, no process
/// remembers the crash. Two such crashes once led to a sixth start of a task.
TEST_F(CrashedWorkerTest, AForgottenStartCountsAgainstASuspect)
{
  StoredProgress progress;
  progress.mSteps.push_back(
    { 0, 0, "", {}, {}, { Stored(0, { .mPossible = { 1 } }) } });
  AddInherited(Graph("job", { Step(1) }), progress);
  AttachAndGrant("a");
  RunFor("a", 0);
  TakeOverAfterPowerLoss();
  EXPECT_EQ(Crashes(kFirst).Count(), 2U);
  // The next owner counts it once.
  TakeOverAfterPowerLoss();
  EXPECT_LE(Crashes(kFirst).Count(), 3U);
}

/// The agent still lists the run's end, so the start is not forgotten.
TEST_F(CrashedWorkerTest, AStartThatAnAgentStillKnowsIsNotForgotten)
{
  StoredProgress progress;
  progress.mSteps.push_back(
    { 0, 0, "", {}, {}, { Stored(0, { .mPossible = { 1 } }) } });
  AddInherited(Graph("job", { Step(1) }), progress);
  AttachAndGrant("a");
  const OrderRequest orders = RunFor("a", 0);
  const RunNumber run = orders.mStarts.at(0).mRun;
  TakeOverAfterPowerLoss(
    State("a-life", {}, { Ended(1, kFirst, run, RunEnd::Failed) }));
  EXPECT_EQ(Crashes(kFirst).Count(), 1U);
}

TEST_F(CrashedWorkerTest, ASilentWorkerThatAnswersAgainHasNotCrashed)
{
  AttachAndGrant("a");
  AddSavedJob(Graph("job", { Step(1) }));
  RunFor("a", 0);
  mScheduler.DetachWorker(AgentId("a"), Clock());
  AdvanceClock(seconds(5));
  mScheduler.Schedule(Clock());
  EXPECT_TRUE(WasLogged("task-lost"));
  Attach("a", State("a-life"));
  EXPECT_TRUE(Crashes(kFirst).Empty());
  EXPECT_TRUE(Crashes(kFirst).MayStart(mNow));
}

} // namespace

} // namespace foxtailbarrow::cell::test
