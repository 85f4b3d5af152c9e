// Guards against stale starts: starts that had not been sent when their worker
// crashed were sent to its next incarnation, in addition to the runs that
// replaced them.

#include "tests/cell/CrashFixture.h"

namespace foxtailbarrow::cell::test {

namespace {

struct LossCase
{
  const char* mName;
  /// Of the report by which the owner learns that its runs are lost.
  const char* mIncarnation;
  bool mAnswers;
  bool mEnded;
  Duration mAfter;
};

class UnsentStartTest
  : public CrashFixture
  , public testing::WithParamInterface<LossCase>
{
protected:
  /// The owner keeps the orders while the agent has not answered earlier ones.
  void LoseWorkerBeforeOrdersAreSent()
  {
    AttachAndGrant("a");
    AddSavedJob(Graph("job", { Step(2) }));
    mScheduler.Schedule(Clock());
    const LossCase& loss = GetParam();
    ReportRequest report = ReportOf("a", State(loss.mIncarnation));
    report.mWorkerAnswers = loss.mAnswers;
    report.mWorkerEnded = loss.mEnded;
    mScheduler.HandleReport(report, Clock());
    if (loss.mAfter > Duration::zero()) {
      AdvanceClock(loss.mAfter);
      report.mSequence++;
      mScheduler.HandleReport(report, Clock());
    }
    SaveProgress();
  }
};

TEST_P(UnsentStartTest, IsNotSentAfterItsRunIsLost)
{
  LoseWorkerBeforeOrdersAreSent();
  EXPECT_TRUE(mScheduler.TakeOrders(AgentId("a")).mStarts.empty());
}

TEST_P(UnsentStartTest, IsPlacedAgainOnce)
{
  LoseWorkerBeforeOrdersAreSent();
  AttachAndGrant("b");
  AdvanceClock(mSettings.mSuspectPause);
  Grant("a");
  Grant("b");
  std::set<TaskRef> started;
  mScheduler.Schedule(Clock());
  for (const char* agent : { "a", "b" }) {
    for (const StartOrder& start :
         mScheduler.TakeOrders(AgentId(agent)).mStarts) {
      EXPECT_TRUE(started.insert(start.mTask).second) << ToString(start.mTask);
    }
  }
  EXPECT_EQ(started.size(), 2U);
}

INSTANTIATE_TEST_SUITE_P(
  Losses,
  UnsentStartTest,
  testing::Values(
    LossCase{ "Restarted", "a-next", true, false, Duration::zero() },
    LossCase{ "Ended", "a-life", false, true, Duration::zero() },
    LossCase{ "Silent", "a-life", false, false, seconds(10) }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

} // namespace

} // namespace foxtailbarrow::cell::test
