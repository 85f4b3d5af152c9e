#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "standins/taskworker/TaskWorkerModel.h"

namespace foxtailbarrow::standin::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kServing = 1;
constexpr int kBestEffortTasks = 4;
const cell::TaskRef kServingTask{ JobId("serving"), 0, 0, 0 };

struct InterferenceCase
{
  const char* mName;
  std::int32_t mPercent;   ///< Throttle of the best-effort tasks, after 1 s.
  std::size_t mOverTarget; ///< OverTarget events within 7 s.
};

class PressedServingTaskTest : public testing::TestWithParam<InterferenceCase>
{
protected:
  /// A best-effort image with heavy interference at mNow.
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

  void Advance(Duration aTime)
  {
    cell::PollCall poll;
    for (const Instant end = mNow + aTime; mNow < end;) {
      mNow += milliseconds(20);
      poll.mLeaseEnd = mWorker.Clock(mNow) + 6000;
      mWorker.Poll(poll, mNow);
    }
  }

  /// The interference stays the same until 1020 s.
  Instant mNow{ seconds(1011) };
  std::vector<RunEvent> mOverTargetEvents;
  TaskWorkerModel mWorker{ { .mThrottleDelay = milliseconds(100) },
                           mNow,
                           [this](const RunEvent& aEvent) {
                             if (aEvent.mKind == RunEventKind::OverTarget) {
                               mOverTargetEvents.push_back(aEvent);
                             }
                           } };
};

TEST_P(PressedServingTaskTest,
       IsReportedOverTargetUnlessTheColocatedTasksAreStopped)
{
  const Instant start = mNow;
  Start(kServingTask, "serves=" + std::to_string(kServing));
  const std::string bestEffort = "fills=60000:" + std::to_string(HeavyImage());
  for (int index = 0; index < kBestEffortTasks; ++index) {
    Start({ JobId("leftover"), 0, 0, index }, bestEffort);
  }
  Advance(seconds(1));
  for (int index = 0; index < kBestEffortTasks; ++index) {
    mWorker.Throttle(
      { { JobId("leftover"), 0, 0, index }, 1, GetParam().mPercent, 0 }, mNow);
  }
  Advance(seconds(6));
  EXPECT_EQ(mOverTargetEvents.size(), GetParam().mOverTarget);
  if (!mOverTargetEvents.empty()) {
    EXPECT_LE(mOverTargetEvents[0].mAt - start, milliseconds(100));
    EXPECT_GT(mWorker.View(mNow).mRunning.back().mFigure, kServingTargetMs);
  }
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  PressedServingTaskTest,
  testing::Values(InterferenceCase{ "NotThrottled", 100, 1 },
                  InterferenceCase{ "Stopped", 0, 0 }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

} // namespace

} // namespace foxtailbarrow::standin::test
