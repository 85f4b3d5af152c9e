// Guards against copies of tasks that crash their worker. A run that crashes
// its worker 10 ms after its start makes no progress, so that a copy of it was
// started 0.85 s later, 2.3 s before the crash was known. The copy crashed a
// second worker with its 29 runs.

#include "tests/cell/CrashFixture.h"

namespace foxtailbarrow::cell::test {

namespace {

/// State of the first run's worker.
enum class Reachability : std::uint8_t
{
  Answers,       ///< The worker answers, and the task makes no progress.
  Silent,        ///< The worker does not answer its agent.
  AgentDetached, ///< The agent's session has ended.
};

struct CopyCase
{
  const char* mName;
  int mUptimeMs; ///< As the agent reported; negative = start not answered.
  Reachability mReachability;
  bool mCopied;
};

class CopyTest
  : public CrashFixture
  , public testing::WithParamInterface<CopyCase>
{
protected:
  void StartFirstRun(int aUptimeMs)
  {
    StepSpec step = Step(1);
    step.mSpeculative = true;
    AttachAndGrant("a");
    AddSavedJob(Graph("job", { step }));
    if (aUptimeMs < 0) {
      mRunning["a"].clear();
      ASSERT_EQ(Orders("a").mStarts.size(), 1U);
    } else {
      RunFor("a", aUptimeMs);
    }
    AttachAndGrant("b");
  }

  void SetReachability(Reachability aReachability)
  {
    ReportRequest report =
      ReportOf("a", State(mWorkerIncarnation, mRunning["a"]), 0);
    AdvanceClock(mSettings.mCopyAfter + milliseconds(1));
    if (aReachability == Reachability::Silent) {
      report.mWorkerAnswers = false;
      report.mLeaseLeft = seconds(3);
      mScheduler.HandleReport(report, Clock());
    } else if (aReachability == Reachability::AgentDetached) {
      mScheduler.DetachWorker(AgentId("a"), Clock());
    }
    Grant("b");
  }
};

TEST_P(CopyTest, IsStartedOnlyForARunWithProvenUptime)
{
  StartFirstRun(GetParam().mUptimeMs);
  SetReachability(GetParam().mReachability);
  EXPECT_EQ(Orders("b").mStarts.size(), GetParam().mCopied ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  CopyTest,
  testing::Values(
    CopyCase{ "ProvenStalled", 1200, Reachability::Answers, true },
    CopyCase{ "ProvenOnASilentWorker", 1200, Reachability::Silent, true },
    CopyCase{ "ProvenOfASilentAgent", 1200, Reachability::AgentDetached, true },
    CopyCase{ "FreshStalled", 400, Reachability::Answers, false },
    CopyCase{ "FreshOnASilentWorker", 400, Reachability::Silent, false },
    CopyCase{ "FreshOfASilentAgent", 400, Reachability::AgentDetached, false },
    CopyCase{ "Unanswered", -1, Reachability::Answers, false },
    CopyCase{ "UnansweredBySilent", -1, Reachability::Silent, false }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

} // namespace

} // namespace foxtailbarrow::cell::test
