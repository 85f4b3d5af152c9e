// A crashed worker refuses connections until it is back. Its agent reports it
// as ended, so that its runs do not count as alive until then.

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

TEST_F(EndedWorkerTest, ProvenRunsStartElsewhereAtOnce)
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

/// Otherwise the suspect can crash a second worker while the first one is still
/// down, which leaves no free capacity for other work.
TEST_F(EndedWorkerTest, ASuspectWaitsWhileItsWorkerIsDown)
{
  ReportEnded();
  EXPECT_TRUE(Orders("b").mStarts.empty());
  AdvanceClock(mSettings.mSuspectPause - milliseconds(kReportMs));
  WorkerState reported = State("a-life");
  reported.mCrashes = { { { { kFirst, mRun, {}, true } } } };
  ReportEnded(reported); // Reports the same crash: the wait is not extended.
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

TEST_F(EndedWorkerTest, ADrainingWorkerHasNotCrashed)
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

/// The worker answers after all: its run is stopped, as it was started again.
TEST_F(EndedWorkerTest, ItsRemainingRunsAreStopped)
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

/// The owner is replaced while the worker is down: the next owner does not wait
/// for the leases of the ended runs.
TEST_F(EndedWorkerTest, ANextOwnerCountsTheCrashesThatItsAgentReports)
{
  WorkerState ended = State("a-life");
  ended.mCrashes = { { { { kFirst, mRun, {}, true } } } };
  TakeOverAfterPowerLoss(ended);
  EXPECT_EQ(Crashes(kFirst).Crashes().mLikely, std::vector{ mRun });
}

} // namespace

} // namespace foxtailbarrow::cell::test
