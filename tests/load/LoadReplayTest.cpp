#include <string>

#include <gtest/gtest.h>

#include "tests/load/LoadReplay.h"

namespace foxtailbarrow::cell::test {

namespace {

using std::chrono::milliseconds;

constexpr int kSeeds = 20;

/// A limit or mechanism of the cell, and the alternative without it.
struct GainCase
{
  const char* mName;
  void (*mWithout)(LoadPolicy&);
  double mMinGain; ///< Of the mean score; about half of the measured gain.
};

class LoadGainTest : public testing::TestWithParam<GainCase>
{};

TEST_P(LoadGainTest, ImprovesTheScoreUnderTheWorstLoad)
{
  const LoadPolicy with;
  LoadPolicy without;
  GetParam().mWithout(without);
  EXPECT_GT(MeanScore(with, kSeeds),
            MeanScore(without, kSeeds) + GetParam().mMinGain);
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  LoadGainTest,
  testing::Values(GainCase{ "WorkersAreFilledBeyondFreeCapacity",
                            [](LoadPolicy& aPolicy) {
                              aPolicy.mCell.mMaxBestEffortRatio = 1.0;
                            },
                            0.02 },
                  GainCase{ "ButNotFarAbove",
                            [](LoadPolicy& aPolicy) {
                              aPolicy.mCell.mMaxBestEffortRatio = 1.8;
                            },
                            0.02 },
                  GainCase{ "CapacityIsPlannedNearTheTarget",
                            [](LoadPolicy& aPolicy) {
                              aPolicy.mCell.mPlannedLatencyShare = 0.65;
                            },
                            0.02 },
                  GainCase{ "ButNotBeyondIt",
                            [](LoadPolicy& aPolicy) {
                              aPolicy.mCell.mPlannedLatencyShare = 1.0;
                            },
                            0.02 },
                  GainCase{ "OnlyInterferingTasksAreThrottled",
                            [](LoadPolicy& aPolicy) {
                              aPolicy.mThrottle.mHarmlessWeight = 0.01;
                            },
                            0.02 },
                  GainCase{ "ASwingMayPassBeforeAllStops",
                            [](LoadPolicy& aPolicy) {
                              aPolicy.mThrottle.mStopAfter = milliseconds(900);
                              aPolicy.mThrottle.mStopAllAfter =
                                milliseconds(1800);
                            },
                            0.01 },
                  GainCase{ "ASwingIsNotMistakenForInterference",
                            [](LoadPolicy& aPolicy) {
                              constexpr double kNone = 1e-7;
                              InterferenceSettings& learning =
                                aPolicy.mCell.mInterference;
                              learning.mLoadVariance = kNone;
                              learning.mLoadFilter.mRateVariance = kNone;
                              learning.mLoadFilter.mRateNoiseDensity = kNone;
                              learning.mNoise = 0.4;
                              learning.mMaxError = 2.0;
                            },
                            0.02 },
                  GainCase{ "StalledTasksMove",
                            [](LoadPolicy& aPolicy) {
                              aPolicy.mCell.mMoveStalledAfter =
                                std::chrono::hours(1);
                            },
                            0.015 }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

/// A new owner starts from what its predecessor learned.
TEST(LoadReplayTest, SavingWhatWasLearnedImprovesTheScore)
{
  LoadPolicy learned;
  learned.mStartsLearned = true;
  EXPECT_GT(MeanScore(learned, kSeeds), MeanScore({}, kSeeds) + 0.06);
}

} // namespace

} // namespace foxtailbarrow::cell::test
