// A task that takes its worker down was started a sixth time. Its third start
// was followed by a crash of the worker 0.1 s later; the agent's last report
// before it was held up on its way for 3 s. The owner counted the answer's age
// from when it read the report, and logged `task-cleared reason=lives` for a
// run that had ended 3.2 s before: the crash before was forgotten, and this one
// spoke against nobody.

#include "tests/cell/CrashFixture.h"

namespace foxtailbarrow::cell::test {

namespace {

constexpr Duration kHeldUp = seconds(3);

class LateReportTest : public CrashFixture
{
protected:
  void SetUp() override
  {
    AttachAndGrant("a");
    AddSavedJob(Graph("job", { Step(1) }));
  }

  /// The agent tells what runs at once after its start; the owner hears of it
  /// much later.
  void StartAndReportLate()
  {
    RunFor("a", 0);
    AdvanceClock(milliseconds(100));
    const ReportRequest report =
      ReportOf("a", State(mWorkerIncarnation, mRunning["a"]));
    AdvanceClock(kHeldUp);
    Grant("a");
    mScheduler.HandleReport(report, Clock());
  }
};

TEST_F(LateReportTest, ARunIsNotProvenByTheTimeThatAReportTook)
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

TEST_F(LateReportTest, AWorkerIsNotQuietByTheTimeThatAReportTook)
{
  StartAndReportLate();
  EXPECT_FALSE(mScheduler.Workers().at(AgentId("a")).HasNoRecentStart());
}

TEST_F(LateReportTest, ANextOwnerKnowsHowLongARunHasLived)
{
  RunFor("a", 3000);
  TakeOverAfterPowerLoss(State(mWorkerIncarnation, mRunning["a"]));
  Report("a", State(mWorkerIncarnation, mRunning["a"]));
  Crash("a", "a-second-life");
  EXPECT_EQ(Crashes(kFirst).Count(), 0U);
}

} // namespace

} // namespace foxtailbarrow::cell::test
