#include "standins/worker/TaskRunner.h"

#include <functional>
#include <string>

#include <gtest/gtest.h>

namespace foxtailbarrow::standin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Instant kNow{ std::chrono::hours(1) };
const TaskKey kKey{ JobId("job"), 2 };

TaskStart MakeStart(std::string aArguments = R"({"runMs":1000})")
{
  TaskStart start;
  start.mKey = kKey;
  start.mResources = { 1'000, 100, 0 };
  start.mProgram = "sleep";
  start.mArguments = std::move(aArguments);
  start.mLease = seconds(20);
  return start;
}

TaskRunner MakeRunner()
{
  return TaskRunner({ { 4'000, 1'000, 0 }, seconds(2) });
}

TaskState StateOf(TaskRunner& aRunner, Instant aNow)
{
  const WorkerView view = aRunner.View(aNow);
  return view.mTasks.at(0).mState;
}

struct EndCase
{
  const char* mName;
  std::string mArguments;
  std::function<void(TaskRunner&)> mAct;
  Duration mLater;
  TaskState mState;
};

class TaskEnd : public testing::TestWithParam<EndCase>
{};

TEST_P(TaskEnd, ReachesTheExpectedState)
{
  TaskRunner runner = MakeRunner();
  ASSERT_TRUE(runner.Start(MakeStart(GetParam().mArguments), kNow).ok());
  GetParam().mAct(runner);
  EXPECT_EQ(StateOf(runner, kNow + GetParam().mLater), GetParam().mState);
}

const std::string kRunsOneSecond = R"({"runMs":1000})";
const std::string kRunsOneMinute = R"({"runMs":60000})";

void NoAction(TaskRunner&) {}

INSTANTIATE_TEST_SUITE_P(
  All,
  TaskEnd,
  testing::Values(EndCase{ "before",
                           kRunsOneSecond,
                           NoAction,
                           milliseconds(999),
                           TaskState::Running },
                  EndCase{ "after",
                           kRunsOneSecond,
                           NoAction,
                           seconds(1),
                           TaskState::Finished },
                  EndCase{ "failure",
                           R"({"runMs":10,"fail":true})",
                           NoAction,
                           seconds(1),
                           TaskState::Failed },
                  EndCase{ "lapse",
                           kRunsOneMinute,
                           NoAction,
                           seconds(20),
                           TaskState::Stopped },
                  EndCase{ "renewal",
                           kRunsOneMinute,
                           [](TaskRunner& aRunner) {
                             const TaskKey keys[] = { kKey };
                             aRunner
                               .Renew(keys, seconds(20), kNow + seconds(10))
                               .IgnoreError();
                           },
                           seconds(29),
                           TaskState::Running },
                  EndCase{ "throttled",
                           kRunsOneSecond,
                           [](TaskRunner& aRunner) {
                             aRunner.Throttle(kKey, 0.25, kNow).IgnoreError();
                           },
                           seconds(3),
                           TaskState::Running },
                  EndCase{ "throttledEnd",
                           kRunsOneSecond,
                           [](TaskRunner& aRunner) {
                             aRunner.Throttle(kKey, 0.25, kNow).IgnoreError();
                           },
                           seconds(4),
                           TaskState::Finished },
                  EndCase{ "stop",
                           kRunsOneMinute,
                           [](TaskRunner& aRunner) {
                             aRunner.Stop(kKey, kNow).IgnoreError();
                           },
                           seconds(1),
                           TaskState::Stopped }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

struct StartCase
{
  const char* mName;
  std::function<void(TaskRunner&)> mBefore;
  std::function<void(TaskStart&)> mChange;
  absl::StatusCode mCode;
};

class TaskStartRefusal : public testing::TestWithParam<StartCase>
{};

TEST_P(TaskStartRefusal, ReturnsTheExpectedCode)
{
  TaskRunner runner = MakeRunner();
  GetParam().mBefore(runner);
  TaskStart start = MakeStart();
  GetParam().mChange(start);
  EXPECT_EQ(runner.Start(start, kNow).code(), GetParam().mCode);
}

void StartFirst(TaskRunner& aRunner)
{
  aRunner.Start(MakeStart(), kNow).IgnoreError();
}

INSTANTIATE_TEST_SUITE_P(
  All,
  TaskStartRefusal,
  testing::Values(
    StartCase{ "first", NoAction, [](TaskStart&) {}, absl::StatusCode::kOk },
    StartCase{ "again", StartFirst, [](TaskStart&) {}, absl::StatusCode::kOk },
    StartCase{ "olderEpoch",
               StartFirst,
               [](TaskStart& aStart) { aStart.mKey.mEpoch = 1; },
               absl::StatusCode::kFailedPrecondition },
    StartCase{
      "stoppedBeforeItCame",
      [](TaskRunner& aRunner) { aRunner.Stop(kKey, kNow).IgnoreError(); },
      [](TaskStart&) {},
      absl::StatusCode::kFailedPrecondition },
    StartCase{ "program",
               NoAction,
               [](TaskStart& aStart) { aStart.mProgram = "run"; },
               absl::StatusCode::kInvalidArgument },
    StartCase{ "arguments",
               NoAction,
               [](TaskStart& aStart) { aStart.mArguments = "{"; },
               absl::StatusCode::kInvalidArgument }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

TEST(TaskRunner, ResumesFromACheckpointOnAnotherWorker)
{
  TaskRunner first = MakeRunner();
  ASSERT_TRUE(first.Start(MakeStart(), kNow).ok());
  const auto reference = first.Checkpoint(kKey, kNow + milliseconds(700));
  ASSERT_TRUE(reference.ok());
  EXPECT_EQ(*first.Checkpoint(kKey, kNow + seconds(9)), *reference);
  TaskStart resumed = MakeStart();
  resumed.mKey.mEpoch = 3;
  resumed.mCheckpoint = *reference;
  TaskRunner second = MakeRunner();
  ASSERT_TRUE(second.Start(resumed, kNow).ok());
  EXPECT_EQ(StateOf(second, kNow + milliseconds(299)), TaskState::Running);
  EXPECT_EQ(StateOf(second, kNow + milliseconds(300)), TaskState::Finished);
}

TEST(TaskRunner, CountsDoubledJobsAndOvercommitment)
{
  TaskRunner runner = MakeRunner();
  TaskStart start = MakeStart();
  start.mResources.mMillicores = 3'000;
  ASSERT_TRUE(runner.Start(start, kNow).ok());
  EXPECT_EQ(runner.Overlapping() + runner.Overcommitted(), 0U);
  start.mKey.mEpoch = 3;
  ASSERT_TRUE(runner.Start(start, kNow).ok());
  EXPECT_EQ(runner.Overlapping(), 1U);
  EXPECT_EQ(runner.Overcommitted(), 1U);
}

TEST(TaskRunner, ReportsUsageWithADelay)
{
  TaskRunner runner = MakeRunner();
  ASSERT_TRUE(
    runner.Start(MakeStart(R"({"runMs":60000,"usedMillicores":300})"), kNow)
      .ok());
  runner.Advance(kNow + seconds(1));
  EXPECT_TRUE(runner.View(kNow + seconds(1)).mUsage.empty());
  const WorkerView view = runner.View(kNow + seconds(3));
  ASSERT_EQ(view.mUsage.size(), 1U);
  EXPECT_EQ(view.mUsage[0].mUsed.mMillicores, 300);
  EXPECT_EQ(view.mUsage[0].mAge, milliseconds(2'500));
}

} // namespace
} // namespace foxtailbarrow::standin
