#include <optional>

#include "tests/cell/CrashFixture.h"

namespace foxtailbarrow::cell::test {

namespace {

/// Reports on a start to the first owner and to the next one.
struct ForgottenStartCase
{
  const char* mName;
  int mUptimeMs;              ///< As reported to the first owner.
  std::optional<RunEnd> mEnd; ///< Reported to the first owner.
  bool mFound;                ///< Reported to the next owner as running.
  std::size_t mCrashes;       ///< Counted once the next owner has placed it.
};

class ForgottenStartTest
  : public CrashFixture
  , public testing::WithParamInterface<ForgottenStartCase>
{};

/// A start whose owner and agent are lost together with its worker must count
/// as a crash; otherwise such starts are repeated without limit.
TEST_P(ForgottenStartTest, CountsAsACrashUnlessItsOutcomeIsKnown)
{
  const ForgottenStartCase& start = GetParam();
  AttachAndGrant("a");
  AddSavedJob(Graph("job", { Step(2) }));
  const OrderRequest orders = RunFor("a", start.mUptimeMs);
  ASSERT_EQ(orders.mStarts.size(), 2U);
  const RunNumber run = orders.mStarts[0].mRun;
  if (start.mEnd) {
    Report("a",
           State(mWorkerIncarnation,
                 { Running(orders.mStarts[1].mTask, run) },
                 { Ended(1, kFirst, run, *start.mEnd) }));
  }
  const WorkerState found = State(mWorkerIncarnation, { Running(kFirst, run) });
  TakeOverAfterPowerLoss(start.mFound ? found : State("a-next"));
  EXPECT_EQ(Crashes(kFirst).Count(), start.mCrashes);
  EXPECT_FALSE(Crashes(kFirst).Suspect());
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  ForgottenStartTest,
  testing::Values(
    ForgottenStartCase{ "UnknownOutcome", 0, {}, false, 1 },
    ForgottenStartCase{ "ProvenByUptime", 1400, {}, false, 0 },
    ForgottenStartCase{ "StillRuns", 0, {}, true, 0 },
    ForgottenStartCase{ "EndedDone", 0, RunEnd::Done, false, 0 },
    ForgottenStartCase{ "EndedFailed", 0, RunEnd::Failed, false, 0 },
    ForgottenStartCase{ "WasStopped", 0, RunEnd::Stopped, false, 0 }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

class ForgottenStarts : public CrashFixture
{};

/// Each start is lost with its worker, owner and agent. Without the count the
/// task was started six times and was never a suspect.
TEST_F(ForgottenStarts, ATaskWhoseStartsAreAllForgottenIsGivenUp)
{
  constexpr int kMaxStarts = 5;
  constexpr int kOwners = 12;
  AttachAndGrant("a");
  AddSavedJob(Graph("job", { Step(1) }));
  mScheduler.Schedule(Clock());
  int starts = 0;
  for (int owner = 0; owner < kOwners; ++owner) {
    starts += mScheduler.TakeOrders(AgentId("a")).mStarts.empty() ? 0 : 1;
    TakeOverAfterPowerLoss(State("a-next" + std::to_string(owner)));
    SaveProgress();
    Grant("a");
    mScheduler.Schedule(Clock());
  }
  EXPECT_LE(starts, kMaxStarts);
  EXPECT_EQ(mScheduler.PhaseOf(kFirst.mJob), JobPhase::Failed);
}

/// A worker falls silent just after a start, and the task is started elsewhere
/// once the leases have expired. If all processes are lost then, both starts
/// count. The second one replaced the first one in the record.
TEST_F(ForgottenStarts, EachStartOfUnknownOutcomeCounts)
{
  AttachAndGrant("a");
  AddSavedJob(Graph("job", { Step(1) }));
  ASSERT_EQ(Orders("a").mStarts.size(), 1U);
  SaveProgress();
  mScheduler.DetachWorker(AgentId("a"), Clock());
  AdvanceClock(mSettings.mMaxTaskLease + mSettings.mLeaseMargin +
               milliseconds(1));
  AttachAndGrant("b");
  ASSERT_EQ(Orders("b").mStarts.size(), 1U);
  SaveProgress();
  TakeOverAfterPowerLoss();
  EXPECT_EQ(Crashes(kFirst).Count(), 2U);
}

/// As above, but the first worker answers again and had not crashed.
TEST_F(ForgottenStarts, AStartOnAWorkerThatHadNotCrashedDoesNotCount)
{
  AttachAndGrant("a");
  AddSavedJob(Graph("job", { Step(1) }));
  ASSERT_EQ(Orders("a").mStarts.size(), 1U);
  SaveProgress();
  mScheduler.DetachWorker(AgentId("a"), Clock());
  AdvanceClock(mSettings.mMaxTaskLease + mSettings.mLeaseMargin +
               milliseconds(1));
  AttachAndGrant("b");
  ASSERT_EQ(Orders("b").mStarts.size(), 1U);
  Attach("a", State("a-life"));
  TakeOverAfterPowerLoss();
  EXPECT_EQ(Crashes(kFirst).Count(), 1U);
}

TEST_F(ForgottenStarts, AStartThatWasNotSentIsNotSaved)
{
  AttachAndGrant("a");
  AddSavedJob(Graph("job", { Step(1) }));
  mScheduler.Schedule(Clock());
  EXPECT_FALSE(mScheduler.HasUnsavedJobs());
  EXPECT_EQ(mScheduler.TakeOrders(AgentId("a")).mStarts.size(), 1U);
  EXPECT_TRUE(mScheduler.HasUnsavedJobs());
}

} // namespace

} // namespace foxtailbarrow::cell::test
