#include "tests/cell/CellFixture.h"

namespace foxtailbarrow::cell::test {

namespace {

const TaskRef kFirst{ JobId("job"), 0, 0, 0 };
constexpr std::int64_t kDemand = 4000;

struct StallCase
{
  const char* mName;
  std::int64_t mUsed; ///< Millicores, of a demand of kDemand.
  bool mCheckpoints;
  bool mOtherWorker; ///< Another worker would accept the task.
  milliseconds mDuration;
  bool mStopped;
};

class StalledTaskTest
  : public CellFixture
  , public testing::WithParamInterface<StallCase>
{
protected:
  /// Starts a best-effort task on worker a.
  void StartTask(bool aCheckpoints)
  {
    StepSpec step = Step(1, kDemand);
    step.mBestEffort = true;
    step.mCheckpoints = aCheckpoints;
    AttachAndGrant("a");
    AddSavedJob(Graph("job", { step }));
    const OrderRequest orders = Orders("a");
    mRun = orders.mStarts.at(0).mRun;
    Started("a", orders);
    AdvanceClock(mSettings.mStalledGrace + milliseconds(1));
  }

  /// Reports this usage of the task for `aTime` and returns the next orders.
  OrderRequest ReportUsage(std::int64_t aMillicores, Duration aTime)
  {
    RunningTask running = Running(kFirst, mRun);
    running.mFigure = aMillicores;
    for (Duration passed{}; passed <= aTime;
         passed += mSettings.mObserveInterval) {
      Report("a", State("a-life", { running }));
      AdvanceClock(mSettings.mObserveInterval);
    }
    Grant("a");
    return Orders("a");
  }

  RunNumber mRun = 0;
};

TEST_P(StalledTaskTest, IsStoppedOnlyIfItCanResumeElsewhere)
{
  StartTask(GetParam().mCheckpoints);
  if (GetParam().mOtherWorker) {
    AttachAndGrant("b");
  }
  EXPECT_EQ(ReportUsage(GetParam().mUsed, GetParam().mDuration).mStops.size(),
            GetParam().mStopped ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  StalledTaskTest,
  testing::Values(
    StallCase{ "Stalled", 0, true, true, milliseconds(1200), true },
    StallCase{ "NotForLong", 0, true, true, milliseconds(300), false },
    StallCase{ "MakesProgress", 3000, true, true, milliseconds(1200), false },
    StallCase{ "NoOtherWorker", 0, true, false, milliseconds(1200), false },
    StallCase{ "NoCheckpoint", 0, false, true, milliseconds(1200), false }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

class MovedTaskTest : public StalledTaskTest
{};

TEST_F(MovedTaskTest, ResumesOnAnotherWorkerFromItsCheckpoint)
{
  StartTask(true);
  AttachAndGrant("b");
  ASSERT_EQ(ReportUsage(0, milliseconds(1200)).mStops.size(), 1U);
  EndedTask ended = Ended(1, kFirst, mRun, RunEnd::Stopped);
  ended.mCheckpoint = "saved";
  Report("a", State("a-life", {}, { ended }));
  EXPECT_TRUE(Orders("a").mStarts.empty());
  const OrderRequest orders = Orders("b");
  ASSERT_EQ(orders.mStarts.size(), 1U);
  EXPECT_EQ(orders.mStarts[0].mCheckpoint, "saved");
}

} // namespace

} // namespace foxtailbarrow::cell::test
