#include "tests/cell/CrashFixture.h"

namespace foxtailbarrow::cell::test {

namespace {

/// Where and when suspects are started.
class SuspectTrialTest : public CrashFixture
{};

TEST_F(SuspectTrialTest, SuspectsAreTriedSeparately)
{
  AttachAndGrant("a");
  AddSavedJob(Graph("job", { Step(1) }));
  AddSavedJob(Graph("job2", { Step(1) }));
  RunFor("a", 0);
  Crash("a", "next");
  EXPECT_EQ(Orders("a").mStarts.size(), 1U);
  AttachAndGrant("b");
  AttachAndGrant("c");
  AttachAndGrant("d");
  Schedule();
  EXPECT_EQ(mScheduler.AgentsWithOrders().size(), 1U);
  for (const char* agent : { "b", "c", "d" }) {
    Started(agent, mScheduler.TakeOrders(AgentId(agent)));
  }
  // Tasks that are not suspects may start on any of them.
  AddSavedJob(Graph("job3", { Step(1) }));
  mScheduler.Schedule(Clock());
  EXPECT_EQ(mScheduler.AgentsWithOrders().size(), 1U);
}

TEST_F(SuspectTrialTest, NothingElseIsStartedWithAStrongSuspect)
{
  StoredProgress progress;
  progress.mSteps.push_back(
    { 0, 0, "", {}, {}, { Stored(0, { .mLikely = { 1, 2 } }) } });
  AddInherited(Graph("job", { Step(1) }), progress);
  AttachAndGrant("a");
  EXPECT_EQ(Orders("a").mStarts.size(), 1U);
  AddSavedJob(Graph("job2", { Step(1) }));
  EXPECT_TRUE(Orders("a").mStarts.empty());
}

/// A trial on a worker that started other tasks 0.2 s before blames those as
/// well, so that its crash counts less: one task got a sixth start that way,
/// after its first crash was lost with all processes.
TEST_F(SuspectTrialTest, AStrongSuspectIsTriedWithProvenTasksOnly)
{
  AttachAndGrant("a");
  AddSavedJob(Graph("other", { Step(1) }));
  RunFor("a", 0);
  StoredProgress progress;
  progress.mSteps.push_back(
    { 0, 0, "", {}, {}, { Stored(0, { .mLikely = { 1, 2 } }) } });
  AddInherited(Graph("job", { Step(1) }), progress);
  EXPECT_TRUE(Orders("a").mStarts.empty());
  // Nothing else is started there meanwhile, or it would wait forever.
  AddSavedJob(Graph("job2", { Step(1) }));
  EXPECT_TRUE(Orders("a").mStarts.empty());
  RunFor("a", 600);
  const OrderRequest orders = RunFor("a", 0);
  ASSERT_EQ(orders.mStarts.size(), 1U);
  EXPECT_EQ(orders.mStarts.front().mTask, kFirst);
  Crash("a", "next");
  EXPECT_EQ(Crashes(kFirst).Crashes().mSole.size(), 1U);
}

/// The suspect that the worker is reserved for is canceled.
TEST_F(SuspectTrialTest, AReservationForASuspectExpires)
{
  AttachAndGrant("a");
  AddSavedJob(Graph("other", { Step(1) }));
  RunFor("a", 0);
  StoredProgress progress;
  progress.mSteps.push_back(
    { 0, 0, "", {}, {}, { Stored(0, { .mLikely = { 1, 2 } }) } });
  AddInherited(Graph("job", { Step(1) }), progress);
  EXPECT_TRUE(Orders("a").mStarts.empty());
  mScheduler.CancelJob(JobId("job"), Clock());
  AddSavedJob(Graph("job2", { Step(1) }));
  AdvanceClock(seconds(3));
  Grant("a");
  EXPECT_EQ(Orders("a").mStarts.size(), 1U);
}

TEST_F(SuspectTrialTest, ASuspectIsTriedWhereLeastWouldBeLost)
{
  AttachAndGrant("a");
  AttachAndGrant("b");
  AddSavedJob(Graph("job", { Step(1) }));
  const std::string first = Orders("a").mStarts.empty() ? "b" : "a";
  const std::string other = first == "a" ? "b" : "a";
  Report(first, State("next"));
  SaveProgress();
  // The worker that crashed is empty, but is not chosen again.
  EXPECT_EQ(Orders(other).mStarts.size(), 1U);
}

TEST_F(SuspectTrialTest, AJobThatWillLikelyBeGivenUpStartsNothingElse)
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

/// Each of two tasks of one job is a reason not to start the other.
TEST_F(SuspectTrialTest, StrongSuspectsOfOneJobAreTriedOneByOne)
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
  SaveProgress();
  EXPECT_EQ(Orders("a").mStarts.size(), 1U);
}

/// The end of one member of a gang ends all members.
TEST_F(SuspectTrialTest, ADoneSuspectDoesNotBlockTheJob)
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
  Schedule();
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
  SaveProgress();
  EXPECT_EQ(Orders(first).mStarts.size(), 1U);
}

TEST_F(SuspectTrialTest, FromTheSecondCrashOnStartsWaitForTheSave)
{
  StoredProgress progress;
  progress.mSteps.push_back(
    { 0, 0, "", {}, {}, { Stored(0, { .mPossible = { 1 } }) } });
  AddInherited(Graph("job", { Step(1) }), progress);
  AttachAndGrant("a");
  RunFor("a", 0);
  mRunning["a"].clear();
  Report("a", State("second"));
  EXPECT_TRUE(Orders("a").mStarts.empty());
  SaveProgress();
  EXPECT_EQ(Orders("a").mStarts.size(), 1U);
}

/// Their trial is one: no other suspect starts beside it, and it is over once
/// each of them has lived long enough.
TEST_F(SuspectTrialTest, SuspectsOfAGangAreTriedTogether)
{
  StepSpec gang = Step(2);
  gang.mGang = true;
  AttachAndGrant("a");
  AddSavedJob(Graph("job", { gang }));
  RunFor("a", 0);
  Crash("a", "next");
  mWorkerIncarnation = "next";
  const OrderRequest orders = RunFor("a", 0);
  ASSERT_EQ(orders.mStarts.size(), 2U);
  EXPECT_EQ(orders.mStarts[0].mRun, orders.mStarts[1].mRun);
  EXPECT_EQ(mScheduler.Trials(), 1U);
  StoredProgress progress;
  progress.mSteps.push_back(
    { 0, 0, "", {}, {}, { Stored(0, { .mLikely = { 1 } }) } });
  AddInherited(Graph("other", { Step(1) }), progress);
  RunFor("a", 300);
  EXPECT_EQ(mScheduler.Trials(), 1U);
  EXPECT_TRUE(mScheduler.Jobs()
                .at(JobId("other"))
                .Find({ JobId("other"), 0, 0, 0 })
                ->mRuns.empty());
  RunFor("a", 460);
  RunFor("a", 0);
  EXPECT_FALSE(mScheduler.Jobs()
                 .at(JobId("other"))
                 .Find({ JobId("other"), 0, 0, 0 })
                 ->mRuns.empty());
}

} // namespace

} // namespace foxtailbarrow::cell::test
