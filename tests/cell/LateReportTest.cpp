// Guards against counting the delay of a report as uptime of a run. The worker
// crashed 0.1 s after the start of a task, and the agent's last report before
// the crash was delayed by 3 s. An owner that uses its own time of reading the
// report considers the run proven (`task-cleared reason=lives`) 3.2 s after its
// end: it clears the crash before, this crash counts against no task, and the
// task that crashes its worker was started a sixth time.

#include "tests/cell/CrashFixture.h"

namespace foxtailbarrow::cell::test {

namespace {

constexpr Duration kReportDelay = seconds(3);

class LateReportTest : public CrashFixture
{
protected:
  void SetUp() override
  {
    AttachAndGrant("a");
    AddSavedJob(Graph("job", { Step(1) }));
  }

  /// The agent reports the run right after its start; the owner receives the
  /// report much later.
  void StartAndReportLate()
  {
    RunFor("a", 0);
    AdvanceClock(milliseconds(100));
    const ReportRequest report =
      ReportOf("a", State(mWorkerIncarnation, mRunning["a"]));
    AdvanceClock(kReportDelay);
    Grant("a");
    mScheduler.HandleReport(report, Clock());
  }
};

TEST_F(LateReportTest, TheDelayOfAReportDoesNotProveARun)
{
  RunFor("a", 0);
  Crash("a", "a-second-life");
  mWorkerIncarnation = "a-second-life";
  ASSERT_EQ(Crashes(kFirst).Count(), 1U);
  Grant("a");
  StartAndReportLate();
  ASSERT_FALSE(mRunning["a"].empty());
  EXPECT_EQ(Crashes(kFirst).Count(), 1U);
  Crash("a", "a-third-life");
  EXPECT_EQ(Crashes(kFirst).Count(), 2U);
}

TEST_F(LateReportTest, TheDelayOfAReportDoesNotHideARecentStart)
{
  StartAndReportLate();
  EXPECT_FALSE(mScheduler.Workers().at(AgentId("a")).HasNoRecentStart());
}

TEST_F(LateReportTest, TheNextOwnerKnowsTheUptimeOfARun)
{
  RunFor("a", 3000);
  TakeOverAfterPowerLoss(State(mWorkerIncarnation, mRunning["a"]));
  Report("a", State(mWorkerIncarnation, mRunning["a"]));
  Crash("a", "a-second-life");
  EXPECT_EQ(Crashes(kFirst).Count(), 0U);
}

} // namespace

} // namespace foxtailbarrow::cell::test
