// A task took its worker down 10 ms after its start. 0.85 s later a copy of it
// was started, since it stood still, and took a second worker down, with the 29
// runs that were there: `task-start run=1048578 reason=room`, 2.3 s before the
// first crash was known.

#include "tests/cell/CrashFixture.h"

namespace foxtailbarrow::cell::test {

namespace {

/// What becomes of the worker of the first run.
enum class Fate : std::uint8_t
{
  Answers, ///< The task stands still there.
  Silent,  ///< It does not answer its agent.
  Away,    ///< Its agent is silent.
};

struct CopyCase
{
  const char* mName;
  int mLivedMs; ///< That the agent has told of; negative = no answer at all.
  Fate mFate;
  bool mCopied;
};

class CopyTest
  : public CrashFixture
  , public testing::WithParamInterface<CopyCase>
{
protected:
  void Begin(int aLivedMs)
  {
    StepSpec step = Step(1);
    step.mSpeculative = true;
    AttachAndGrant("a");
    AddSavedJob(Graph("job", { step }));
    if (aLivedMs < 0) {
      mRunning["a"].clear();
      ASSERT_EQ(Orders("a").mStarts.size(), 1U);
    } else {
      RunFor("a", aLivedMs);
    }
    AttachAndGrant("b");
  }

  void Suffer(Fate aFate)
  {
    ReportRequest report =
      ReportOf("a", State(mWorkerIncarnation, mRunning["a"]), 0);
    AdvanceClock(mSettings.mCopyAfter + milliseconds(1));
    if (aFate == Fate::Silent) {
      report.mWorkerAnswers = false;
      report.mLeaseLeft = seconds(3);
      mScheduler.HandleReport(report, Clock());
    } else if (aFate == Fate::Away) {
      mScheduler.DetachWorker(AgentId("a"), Clock());
    }
    Grant("b");
  }
};

TEST_P(CopyTest, IsMadeOnlyOfARunThatWillNotTakeItsWorkerDown)
{
  Begin(GetParam().mLivedMs);
  Suffer(GetParam().mFate);
  EXPECT_EQ(Orders("b").mStarts.size(), GetParam().mCopied ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  CopyTest,
  testing::Values(CopyCase{ "ProvenStandsStill", 1200, Fate::Answers, true },
                  CopyCase{ "ProvenOnASilentWorker", 1200, Fate::Silent, true },
                  CopyCase{ "ProvenOfASilentAgent", 1200, Fate::Away, true },
                  CopyCase{ "FreshStandsStill", 400, Fate::Answers, false },
                  CopyCase{ "FreshOnASilentWorker", 400, Fate::Silent, false },
                  CopyCase{ "FreshOfASilentAgent", 400, Fate::Away, false },
                  CopyCase{ "Unanswered", -1, Fate::Answers, false },
                  CopyCase{ "UnansweredBySilent", -1, Fate::Silent, false }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

} // namespace

} // namespace foxtailbarrow::cell::test
