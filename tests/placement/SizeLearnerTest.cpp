#include "src/core/placement/SizeLearner.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace foxtailbarrow {
namespace {

struct WrongSize
{
  std::string_view mName;
  Resources mDeclared;
  Resources mTrue;
};

class SizeLearnerTest : public testing::TestWithParam<WrongSize>
{
protected:
  /// Simulates a run that fails if the reserved memory is too small.
  void Run()
  {
    const Resources& truth = GetParam().mTrue;
    RunObservation run;
    run.mReserved = mLearner.Estimate(mKey, GetParam().mDeclared);
    run.mPeak = { std::min(truth.mMillicores, run.mReserved.mMillicores),
                  std::min(truth.mMemoryMb, run.mReserved.mMemoryMb),
                  0 };
    run.mMemoryOverrun = run.mReserved.mMemoryMb < truth.mMemoryMb;
    run.mFinished = !run.mMemoryOverrun;
    run.mRunTime = std::chrono::seconds(100);
    mLearner.Observe(mKey, run);
  }

  ProgramKey mKey{ CustomerId("qoima"), "verify" };
  SizeLearner mLearner;
};

TEST_P(SizeLearnerTest, IsCorrectedWithinAFewRuns)
{
  for (int i = 0; i < 6; ++i) {
    Run();
  }
  const auto learned = mLearner.Estimate(mKey, GetParam().mDeclared);
  EXPECT_TRUE(GetParam().mTrue.FitsIn(learned));
  EXPECT_LE(learned.mMillicores, GetParam().mTrue.mMillicores * 3);
  EXPECT_LE(learned.mMemoryMb, GetParam().mTrue.mMemoryMb * 3);
  EXPECT_NEAR(static_cast<double>(
                mLearner.ExpectedRunTime(mKey, Duration::zero()).count()),
              1e8,
              2e7);
}

INSTANTIATE_TEST_SUITE_P(
  All,
  SizeLearnerTest,
  testing::Values(
    WrongSize{ "Right", { 2000, 4000, 0 }, { 2000, 3900, 0 } },
    WrongSize{ "TenTimesTooLarge", { 20000, 40000, 0 }, { 2000, 4000, 0 } },
    WrongSize{ "TenTimesTooSmall", { 200, 400, 0 }, { 2000, 4000, 0 } },
    WrongSize{ "MemoryTooSmall", { 2000, 400, 0 }, { 2000, 4000, 0 } }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

TEST(SizeLearner, ReservesAtLeastTheMeasuredUsageInTheFirstRuns)
{
  const ProgramKey key{ CustomerId("c"), "p" };
  const Resources declared{ 1000, 1000, 2 };
  SizeLearner learner;
  EXPECT_EQ(learner.Estimate(key, declared), declared);
  learner.Observe(key, { declared, { 300, 5000, 0 }, {}, true, false });
  const Resources size = learner.Estimate(key, declared);
  EXPECT_EQ(size.mMillicores, 1000);
  EXPECT_GE(size.mMemoryMb, 5000);
  EXPECT_EQ(size.mAccelerators, 2);
}

} // namespace
} // namespace foxtailbarrow
