#include <string>

#include <gtest/gtest.h>

#include "src/core/cell/PaceGovernor.h"

namespace foxtailbarrow::cell::test {

namespace {

using std::chrono::milliseconds;

constexpr std::int64_t kTargetMs = 20;
const TaskRef kServing{ JobId("serving"), 0, 0, 0 };
const TaskRef kHeavy{ JobId("heavy"), 0, 0, 0 };
const TaskRef kLight{ JobId("light"), 0, 0, 0 };

RunningTask At(const TaskRef& aTask, std::int64_t aFigure)
{
  RunningTask task;
  task.mTask = aTask;
  task.mRun = 1;
  task.mPercent = 100;
  task.mFigure = aFigure;
  return task;
}

class PaceGovernorTest : public testing::Test
{
protected:
  PaceGovernorTest()
  {
    mGovernor.NoteTraits(
      { kServing, milliseconds(kTargetMs), false, "service" });
    mGovernor.NoteStart({ kHeavy, {}, true, "heavy", {} }, 1);
    mGovernor.NoteStart({ kLight, {}, true, "light", {} }, 1);
    const Pressure pressures[] = { { "service", "heavy", 0.15 },
                                   { "service", "light", 0.0 } };
    mGovernor.TakePressures(pressures);
  }

  /// A look after `aPause`; the paces are carried out.
  std::vector<PaceChange> Look(std::int64_t aLatencyMs,
                               milliseconds aPause = milliseconds(600),
                               std::int32_t aServingPercent = 100)
  {
    mNow += aPause;
    RunningTask serving = At(kServing, aLatencyMs);
    serving.mPercent = aServingPercent;
    const RunningTask running[] = { serving,
                                    At(kHeavy, 6000),
                                    At(kLight, 6000) };
    std::vector<PaceChange> changes = mGovernor.Judge(running, mNow);
    for (const PaceChange& change : changes) {
      mGovernor.NotePaced(change);
    }
    return changes;
  }

  PaceGovernor mGovernor;
  Instant mNow{ std::chrono::seconds(100) };
};

TEST_F(PaceGovernorTest, LeavesCalmTasksAlone)
{
  EXPECT_TRUE(Look(9).empty());
  EXPECT_TRUE(Look(12).empty());
}

TEST_F(PaceGovernorTest, SlowsDownWhatPresses)
{
  const auto changes = Look(40);
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes[0].mTask, kHeavy);
  EXPECT_LT(changes[0].mPercent, 50);
}

TEST_F(PaceGovernorTest, JudgesAFigureOnce)
{
  ASSERT_EQ(Look(30).size(), 1U);
  EXPECT_TRUE(Look(30, milliseconds(30)).empty());
  EXPECT_TRUE(Look(30, milliseconds(30)).empty());
}

TEST_F(PaceGovernorTest, IgnoresServingTasksThatStartUp)
{
  EXPECT_TRUE(Look(200, milliseconds(600), 40).empty());
}

TEST_F(PaceGovernorTest, SpeedsUpAgainWhenThereIsRoom)
{
  ASSERT_FALSE(Look(40).empty());
  std::int32_t percent = 0;
  for (int look = 0; look < 6; ++look) {
    for (const PaceChange& change : Look(8)) {
      percent = change.mPercent;
    }
  }
  EXPECT_EQ(percent, 100);
}

TEST_F(PaceGovernorTest, KnowsATaskThatALookDoesNotShowYet)
{
  // A look that was sent before the start was answered.
  EXPECT_TRUE(mGovernor.Judge({}, mNow).empty());
  EXPECT_FALSE(Look(40).empty());
}

struct StartCase
{
  const char* mName;
  std::int64_t mLatencyMs;
  int mLooks; ///< With this latency, 0.4 s apart.
  const char* mImage;
  bool mStands; ///< A run that starts then.
};

class PaceAtStartTest
  : public PaceGovernorTest
  , public testing::WithParamInterface<StartCase>
{};

/// Until the next look a run that pressed was at work beside a serving task
/// that was over its target.
TEST_P(PaceAtStartTest, ARunThatPressesAnImageOverItsTargetBeginsSlow)
{
  for (int look = 0; look < GetParam().mLooks; ++look) {
    Look(GetParam().mLatencyMs, milliseconds(400));
  }
  const TaskRef started{ JobId("started"), 0, 0, 0 };
  mGovernor.NoteStart({ started, {}, true, GetParam().mImage, {} }, 1);
  const auto change = mGovernor.JudgeStart(started, 1, mNow);
  ASSERT_EQ(change.has_value(), GetParam().mStands);
  if (change) {
    EXPECT_EQ(change->mPercent, 0);
    EXPECT_EQ(change->mCause.mServing, "service");
  }
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  PaceAtStartTest,
  testing::Values(StartCase{ "Calm", 9, 3, "heavy", false },
                  StartCase{ "Over", 40, 1, "heavy", true },
                  StartCase{ "OverButHarmless", 40, 1, "light", false },
                  StartCase{ "OverForLong", 40, 9, "light", true }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

TEST_F(PaceGovernorTest, ALookWithoutAFigureDoesNotEndTheTimeOver)
{
  Look(40, milliseconds(400));
  Look(40, milliseconds(400));
  Look(40, milliseconds(400), 50);
  Look(40, milliseconds(400));
  ASSERT_EQ(mGovernor.OverTargets(mNow).size(), 1U);
  EXPECT_EQ(mGovernor.OverTargets(mNow)[0].mOver, milliseconds(1200));
}

/// The last step of an image decided for all steps of that image.
TEST_F(PaceGovernorTest, EachTaskIsJudgedByItsOwnTarget)
{
  const TaskRef strict{ JobId("serving"), 0, 1, 0 };
  const TaskRef lenient{ JobId("serving"), 0, 2, 0 };
  mGovernor.NoteTraits({ strict, milliseconds(20), false, "service", {} });
  mGovernor.NoteTraits({ lenient, milliseconds(200), false, "service", {} });
  const RunningTask running[] = { At(strict, 40),
                                  At(lenient, 40),
                                  At(kHeavy, 6000) };
  EXPECT_FALSE(mGovernor.Judge(running, mNow).empty());
}

TEST_F(PaceGovernorTest, RoughFiguresAroundTheTargetCountAsOver)
{
  bool lightStopped = false;
  const std::int64_t figures[] = { 21, 19, 21, 19, 20, 19 };
  for (const std::int64_t figure : figures) {
    for (const PaceChange& change : Look(figure)) {
      lightStopped =
        lightStopped || (change.mTask == kLight && change.mPercent == 0);
    }
  }
  EXPECT_TRUE(lightStopped);
}

TEST_F(PaceGovernorTest, StopsEverythingBeforeATaskIsOverForTooLong)
{
  bool lightStopped = false;
  for (int look = 0; look < 6; ++look) {
    for (const PaceChange& change : Look(60)) {
      lightStopped =
        lightStopped || (change.mTask == kLight && change.mPercent == 0);
    }
  }
  EXPECT_TRUE(lightStopped); // Within 3.6 s, whatever was learned.
}

} // namespace

} // namespace foxtailbarrow::cell::test
