#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "standins/taskworker/TaskWorkerModel.h"

namespace foxtailbarrow::standin::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kServing = 1;
constexpr int kLeftoverTasks = 4;
const cell::TaskRef kServingTask{ JobId("serving"), 0, 0, 0 };

struct PressedCase
{
  const char* mName;
  std::int32_t mPercent; ///< Throttle of the leftover tasks, after 1 s.
  std::size_t mMarks;    ///< Of a target missed for too long, in 7 s.
};

class PressedServingTaskTest : public testing::TestWithParam<PressedCase>
{
protected:
  /// A leftover image that presses the serving one hard now.
  int HeavyImage() const
  {
    int image = 0;
    while (BestEffortInterference(kServing, image, mNow) < 0.1) {
      ++image;
    }
    return image;
  }

  void Start(const cell::TaskRef& aTask, const std::string& aPayload)
  {
    cell::StartCall call{ aTask, 1, aPayload, {}, {} };
    call.mLeaseEnd = mWorker.Clock(mNow) + 6000;
    mWorker.Start(call, mNow);
  }

  void Pass(Duration aTime)
  {
    cell::PollCall look;
    for (const Instant end = mNow + aTime; mNow < end;) {
      mNow += milliseconds(20);
      look.mLeaseEnd = mWorker.Clock(mNow) + 6000;
      mWorker.Poll(look, mNow);
    }
  }

  /// Weights last until 1020 s.
  Instant mNow{ seconds(1011) };
  std::vector<RunEvent> mOver;
  TaskWorkerModel mWorker{ { .mThrottleDelay = milliseconds(100) },
                           mNow,
                           [this](const RunEvent& aEvent) {
                             if (aEvent.mKind == RunEventKind::OverTarget) {
                               mOver.push_back(aEvent);
                             }
                           } };
};

TEST_P(PressedServingTaskTest, IsMarkedWhenWhatRunsBesideItWorksOn)
{
  const Instant start = mNow;
  Start(kServingTask, "serves=" + std::to_string(kServing));
  const std::string fills = "fills=60000:" + std::to_string(HeavyImage());
  for (int index = 0; index < kLeftoverTasks; ++index) {
    Start({ JobId("leftover"), 0, 0, index }, fills);
  }
  Pass(seconds(1));
  for (int index = 0; index < kLeftoverTasks; ++index) {
    mWorker.Throttle(
      { { JobId("leftover"), 0, 0, index }, 1, GetParam().mPercent, 0 }, mNow);
  }
  Pass(seconds(6));
  EXPECT_EQ(mOver.size(), GetParam().mMarks);
  if (!mOver.empty()) {
    EXPECT_LE(mOver[0].mAt - start, milliseconds(100));
    EXPECT_GT(mWorker.View(mNow).mRunning.back().mFigure, kServingTargetMs);
  }
}

INSTANTIATE_TEST_SUITE_P(Table,
                         PressedServingTaskTest,
                         testing::Values(PressedCase{ "FullPace", 100, 1 },
                                         PressedCase{ "Stopped", 0, 0 }),
                         [](const auto& aInfo) {
                           return std::string(aInfo.param.mName);
                         });

} // namespace

} // namespace foxtailbarrow::standin::test
