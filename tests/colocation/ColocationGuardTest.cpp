#include "src/core/colocation/ColocationGuard.h"

#include <algorithm>
#include <string>
#include <variant>
#include <vector>

#include <gtest/gtest.h>

namespace foxtailbarrow {
namespace {

using std::chrono::milliseconds;

constexpr double kBaselineMs = 10.0;

Instant At(int aSecond)
{
  return Instant{ std::chrono::hours(1) } + std::chrono::seconds(aSecond);
}

struct FakeTask
{
  std::string mName;          ///< Also its class.
  double mInterference = 0.0; ///< Excess caused at full speed.
  bool mEvictable = true;
  int mFrom = 0; ///< Start, in seconds.
  bool mIsEvicted = false;
};

/// Simulates a service at half load with colocated tasks, in steps of 1 s.
class GuardRun
{
public:
  GuardRun(std::vector<FakeTask> aTasks,
           double aLatencyWeight,
           double aEvictionWeight)
    : mTasks(std::move(aTasks))
    , mEvictionWeight(aEvictionWeight)
  {
    mGuard.SetLatencyWeight(aLatencyWeight);
  }

  void Run(int aFrom, int aTo, bool aWithTasks = true)
  {
    for (int second = aFrom; second < aTo; ++second) {
      mSecond = second;
      mGuard.SetTasks(aWithTasks ? Colocated() : std::vector<ColocatedTask>{},
                      At(second));
      Serve(second, aWithTasks);
      for (const ColocationAction& action : mGuard.Advance(At(second + 1))) {
        RecordAction(action, second);
      }
    }
  }

  double FractionOf(const std::string& aName) const
  {
    return mGuard.FractionOf({ JobId(aName), 1 });
  }

  std::vector<std::string> mEvicted;
  std::vector<int> mSteps; ///< Seconds.
  ColocationGuard mGuard;

private:
  bool IsRunning(const FakeTask& aTask) const
  {
    return !aTask.mIsEvicted && aTask.mFrom <= mSecond;
  }

  std::vector<ColocatedTask> Colocated() const
  {
    std::vector<ColocatedTask> tasks;
    for (const FakeTask& task : mTasks) {
      if (IsRunning(task)) {
        tasks.push_back({ { JobId(task.mName), 1 },
                          task.mName,
                          task.mEvictable,
                          mEvictionWeight,
                          0.1 });
      }
    }
    return tasks;
  }

  void Serve(int aSecond, bool aWithTasks)
  {
    double slowdown = 1.0;
    for (const FakeTask& task : mTasks) {
      if (aWithTasks && IsRunning(task)) {
        slowdown += task.mInterference * FractionOf(task.mName);
      }
    }
    LatencyWindow window{ At(aSecond), At(aSecond + 1), {} };
    const auto micros =
      static_cast<std::int64_t>(kBaselineMs * slowdown * 1000);
    window.mLevels[1].Add(ServiceHistogram::BucketOf(Duration(micros)), 100);
    mGuard.OnLatencies(window);
  }

  void RecordAction(const ColocationAction& aAction, int aSecond)
  {
    mSteps.push_back(aSecond);
    if (const auto* const evict = std::get_if<EvictBatch>(&aAction)) {
      const std::string name = evict->mKey.mJob.Value();
      mEvicted.push_back(name);
      std::find_if(mTasks.begin(), mTasks.end(), [&](const FakeTask& aTask) {
        return aTask.mName == name;
      })->mIsEvicted = true;
    }
  }

  std::vector<FakeTask> mTasks;
  double mEvictionWeight;
  int mSecond = 0;
};

struct GuardCase
{
  const char* mName;
  std::vector<FakeTask> mTasks;
  double mLatencyWeight;
  double mEvictionWeight;
  std::vector<std::string> mEvicted;
  bool mNoisyThrottled;
  bool mQuietThrottled;
};

class GuardOutcome : public testing::TestWithParam<GuardCase>
{};

TEST_P(GuardOutcome, ActsOnTheInterferingTask)
{
  GuardRun run(
    GetParam().mTasks, GetParam().mLatencyWeight, GetParam().mEvictionWeight);
  run.Run(0, 30, false);
  run.Run(30, 180);
  EXPECT_EQ(run.mEvicted, GetParam().mEvicted);
  EXPECT_EQ(run.FractionOf("noisy") < 1.0, GetParam().mNoisyThrottled);
  EXPECT_EQ(run.FractionOf("quiet") < 1.0, GetParam().mQuietThrottled);
}

INSTANTIATE_TEST_SUITE_P(
  All,
  GuardOutcome,
  testing::Values(
    GuardCase{ "calm", { { "quiet", 0.1 } }, 1, 1, {}, false, false },
    GuardCase{ "throttleIsEnough",
               { { "quiet", 0.0 }, { "noisy", 1.2, true, 60 } },
               1,
               1,
               {},
               true,
               false },
    GuardCase{ "noThrottleIsEnough",
               { { "noisy", 6.0 } },
               1,
               1,
               { "noisy" },
               false,
               false },
    GuardCase{ "notEvictable",
               { { "noisy", 6.0, false } },
               1,
               1,
               {},
               true,
               false },
    GuardCase{ "evictionsWeighMore",
               { { "noisy", 0.9 } },
               1,
               4,
               {},
               false,
               false },
    GuardCase{ "latencyWeighsMore",
               { { "noisy", 0.9 } },
               4,
               1,
               {},
               true,
               false }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

TEST(ColocationGuard, StepsACoolDownApart)
{
  GuardRun run({ { "noisy", 6.0, false }, { "loud", 5.0, false } }, 1, 1);
  run.Run(0, 30, false);
  run.Run(30, 120);
  ASSERT_GE(run.mSteps.size(), 2U);
  EXPECT_GE(run.mSteps[0], 30 + ColocationSettings{}.mBadWindows);
}

TEST(ColocationGuard, ThrottlesAKnownClassImmediately)
{
  GuardRun run({ { "noisy", 2.0, false } }, 1, 1);
  run.Run(0, 30, false);
  run.Run(30, 120);
  ASSERT_LT(run.FractionOf("noisy"), 1.0);
  run.Run(120, 180, false);
  run.mSteps.clear();
  run.Run(180, 182);
  EXPECT_LT(run.FractionOf("noisy"), 1.0);
  ASSERT_FALSE(run.mSteps.empty());
  EXPECT_LE(run.mSteps[0], 181);
}

TEST(PlacementHistory, AttributesLateMeasurements)
{
  const TaskKey key{ JobId("j"), 1 };
  ColocatedTask task;
  task.mKey = key;
  task.mReserved = 0.5;
  PlacementHistory history(std::chrono::minutes(1));
  history.Set({ task }, At(0));
  task.mFraction = 0.5;
  history.Set({ task }, At(10));
  EXPECT_EQ(history.AttributeUsage(key, 0.4, At(9)), 1.0);
  EXPECT_DOUBLE_EQ(history.Over(At(8), At(9))->mTasks[0].ProcessorShare(), 0.4);
  EXPECT_DOUBLE_EQ(history.Newest()->mTasks[0].ProcessorShare(), 0.25);
  EXPECT_EQ(history.Over(At(9), At(11)), nullptr)
    << "the placement changed meanwhile";
  EXPECT_EQ(history.AttributeUsage(key, 0.4, At(-1)), std::nullopt);
}

class HistogramBound : public testing::TestWithParam<std::int64_t>
{};

TEST_P(HistogramBound, IsAtMostAnEighthAbove)
{
  ServiceHistogram histogram;
  histogram.Add(ServiceHistogram::BucketOf(Duration(GetParam())));
  const Duration bound = histogram.Quantile(1.0);
  EXPECT_GE(bound, Duration(GetParam()));
  EXPECT_LE(bound.count(), GetParam() + GetParam() / 8 + 1);
}

INSTANTIATE_TEST_SUITE_P(
  All,
  HistogramBound,
  testing::Values(1, 7, 8, 9, 100, 1'023, 1'024, 999'999));

} // namespace
} // namespace foxtailbarrow
