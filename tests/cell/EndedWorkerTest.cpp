// A worker that has crashed refuses connections until it is back. Its runs
// counted as alive until then.

#include "tests/cell/CrashFixture.h"

namespace foxtailbarrow::cell::test {

namespace {

class EndedWorkerTest : public CrashFixture
{
protected:
  void SetUp() override
  {
    AttachAndGrant("a");
    AddSavedJob(Graph("job", { Step(1) }));
    mRun = RunFor("a", 0).mStarts.at(0).mRun;
    AttachAndGrant("b");
  }

  void ReportEnded(WorkerState aState = State("a-life"))
  {
    AdvanceClock(milliseconds(kReportMs));
    Grant("b");
    ReportRequest report = ReportOf("a", aState);
    report.mWorkerAnswers = false;
    report.mWorkerEnded = true;
    report.mAnsweredAt = (mNow - milliseconds(kReportMs)).time_since_epoch();
    mScheduler.HandleReport(report, Clock());
    SaveProgress();
  }

  RunNumber mRun = 0;
};

TEST_F(EndedWorkerTest, WhatHadLivedStartsElsewhereAtOnce)
{
  AdvanceClock(kProvenUptime);
  Grant("a");
  Report("a", State("a-life", mRunning["a"]));
  ReportEnded();
  const OrderRequest orders = Orders("b");
  ASSERT_EQ(orders.mStarts.size(), 1U);
  EXPECT_EQ(orders.mStarts[0].mTask, kFirst);
  EXPECT_TRUE(mScheduler.TakeOrders(AgentId("a")).mStarts.empty());
}

/// On a played day of crashing tasks a second worker went down while the first
/// one was away, and other work found no room.
TEST_F(EndedWorkerTest, ASuspectWaitsWhileItsWorkerIsAway)
{
  ReportEnded();
  EXPECT_TRUE(Orders("b").mStarts.empty());
  AdvanceClock(mSettings.mSuspectPause - milliseconds(kReportMs));
  WorkerState told = State("a-life");
  told.mCrashes = { { { { kFirst, mRun, {}, true } } } };
  ReportEnded(told); // The same crash again: it waits no longer.
  EXPECT_EQ(Orders("b").mStarts.size(), 1U);
}

TEST_F(EndedWorkerTest, ItsCrashCountsOnce)
{
  ReportEnded();
  EXPECT_EQ(Crashes(kFirst).Crashes().mLikely, std::vector{ mRun });
  EXPECT_EQ(mScheduler.Crashes().mWorkers, 1U);
  ReportEnded();
  WorkerState next = State("a-next");
  next.mCrashes = { { { { kFirst, mRun, {}, true } } } };
  Report("a", next);
  EXPECT_EQ(Crashes(kFirst).Count(), 1U);
  EXPECT_EQ(mScheduler.Crashes().mWorkers, 1U);
}

TEST_F(EndedWorkerTest, AnEndThatItListedBeforeCounts)
{
  ReportEnded(State("a-life", {}, { Ended(1, kFirst, mRun, RunEnd::Done) }));
  EXPECT_EQ(mScheduler.PhaseOf(kFirst.mJob), JobPhase::Completed);
  EXPECT_EQ(Crashes(kFirst).Count(), 0U);
}

TEST_F(EndedWorkerTest, OneThatSaidThatItLeavesHasNotCrashed)
{
  WorkerState draining = State("a-life", mRunning["a"]);
  draining.mInfo.mDraining = true;
  Report("a", draining);
  WorkerState ended = State("a-life");
  ended.mInfo.mDraining = true;
  ReportEnded(ended);
  EXPECT_TRUE(Crashes(kFirst).Empty());
  EXPECT_EQ(Orders("b").mStarts.size(), 1U);
}

/// Against the agent's word it answers again: what it runs is not wanted twice.
TEST_F(EndedWorkerTest, WhatItStillRunsIsStopped)
{
  ReportEnded();
  AdvanceClock(mSettings.mSuspectPause);
  Grant("b");
  ASSERT_EQ(Orders("b").mStarts.size(), 1U);
  Report("a", State("a-life", { Running(kFirst, mRun) }));
  const OrderRequest orders = mScheduler.TakeOrders(AgentId("a"));
  ASSERT_EQ(orders.mStops.size(), 1U);
  EXPECT_EQ(orders.mStops[0].mRun, mRun);
}

/// The owner is replaced while the worker is gone: the next one does not wait
/// for leases of what has ended.
TEST_F(EndedWorkerTest, ANextOwnerCountsWhatItsAgentTells)
{
  WorkerState ended = State("a-life");
  ended.mCrashes = { { { { kFirst, mRun, {}, true } } } };
  TakeOverAfterPowerLoss(ended);
  EXPECT_EQ(Crashes(kFirst).Crashes().mLikely, std::vector{ mRun });
}

} // namespace

} // namespace foxtailbarrow::cell::test
