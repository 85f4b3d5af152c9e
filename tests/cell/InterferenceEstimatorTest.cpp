#include <algorithm>
#include <cmath>
#include <numbers>
#include <random>

#include <gtest/gtest.h>

#include "src/core/cell/InterferenceEstimator.h"

namespace foxtailbarrow::cell::test {

namespace {

const JobId kJob("standing");

/// Looks come half a second apart.
Instant At(int aLook)
{
  return Instant(std::chrono::seconds(100)) +
         aLook * std::chrono::milliseconds(500);
}

TEST(InterferenceEstimator, TellsHeavyPairsFromLightOnes)
{
  constexpr double kHeavy = 0.12;
  std::mt19937 random(1);
  std::normal_distribution<double> noise(0.0, 0.5);
  std::uniform_int_distribution<int> cores(0, 14);
  InterferenceEstimator interference;
  for (int look = 0; look < 400; ++look) {
    const ImageLoad beside[] = { { "heavy", 1.0 * cores(random) },
                                 { "light", 1.0 * cores(random) } };
    interference.Observe(kJob,
                         "service",
                         std::log(0.45) + kHeavy * beside[0].mCores +
                           noise(random),
                         beside,
                         At(look));
  }
  EXPECT_NEAR(interference.PerCore("service", "heavy"), kHeavy, 0.03);
  EXPECT_LT(interference.PerCore("service", "light"), 0.03);
}

TEST(InterferenceEstimator, TakesAnUnknownPairForAverage)
{
  const InterferenceEstimator interference;
  EXPECT_EQ(interference.PerCore("service", "new"),
            InterferenceSettings().mPriorPerCore);
  EXPECT_GT(interference.Budget(kJob, "service", 0.8, At(0)), 0);
}

TEST(InterferenceEstimator, KeepsOnlyWhatItIsSureOf)
{
  constexpr std::size_t kAll = 10;
  InterferenceEstimator interference;
  const ImageLoad often[] = { { "often", 10.0 } };
  const ImageLoad once[] = { { "once", 1.0 } };
  for (int look = 0; look < 100; ++look) {
    interference.Observe(
      kJob, "service", std::log(0.45) + 0.5, often, At(look));
  }
  interference.Observe(kJob, "service", 0.0, once, At(100));
  const LearnedInterference learned = interference.WellKnown(kAll);
  ASSERT_EQ(learned.mPairs.size(), 1U);
  EXPECT_EQ(learned.mPairs[0].mBestEffort, "often");

  InterferenceEstimator next;
  next.Adopt(learned);
  EXPECT_EQ(next.PerCore("service", "often"),
            interference.PerCore("service", "often"));
  EXPECT_EQ(next.PerCore("service", "once"),
            InterferenceSettings().mPriorPerCore);
  EXPECT_TRUE(interference.WellKnown(0).mPairs.empty());
}

/// A wave of a quarter of a logarithm to one and a quarter below the target,
/// as all tasks of a standing job share it.
double Load(int aLook)
{
  constexpr double kMean = -0.75;
  constexpr double kReach = 0.5;
  constexpr double kLooksAPeriod = 28;
  return kMean +
         kReach * std::sin(2 * std::numbers::pi * aLook / kLooksAPeriod);
}

TEST(InterferenceEstimator, FollowsTheLoadThatTheTasksOfAJobShare)
{
  constexpr double kShare = 0.8;
  constexpr int kWorkers = 7;
  constexpr double kBound = 0.25; // Half the wave's reach.
  std::mt19937 random(1);
  std::normal_distribution<double> noise(0.0, 0.08);
  InterferenceEstimator interference;
  for (int look = 0; look < 200; ++look) {
    for (int worker = 0; worker < kWorkers; ++worker) {
      interference.Observe(
        kJob, "service", Load(look) + noise(random), {}, At(look));
    }
    if (look > 20) {
      // The higher of now and a second later, two looks ahead.
      const double expected =
        std::log(kShare) - std::max(Load(look), Load(look + 2));
      EXPECT_NEAR(interference.Budget(kJob, "service", kShare, At(look)),
                  expected,
                  kBound)
        << "look " << look;
    }
  }
}

TEST(InterferenceEstimator, DoesNotTakeASwingForPressure)
{
  std::mt19937 random(1);
  std::normal_distribution<double> noise(0.0, 0.08);
  std::bernoulli_distribution beside(0.5);
  InterferenceEstimator interference;
  for (int look = 0; look < 100; ++look) {
    for (int worker = 0; worker < 3; ++worker) {
      const ImageLoad harmless[] = { { "harmless",
                                       beside(random) ? 14.0 : 0 } };
      interference.Observe(
        kJob, "service", Load(look) + noise(random), harmless, At(look));
    }
  }
  EXPECT_LT(interference.PerCore("service", "harmless"), 0.005);
}

TEST(InterferenceEstimator, AJobThatWasNotSeenMayBeAtTheTopOfItsSwing)
{
  InterferenceEstimator interference;
  for (int look = 0; look < 10; ++look) {
    interference.Observe(kJob, "service", std::log(0.45), {}, At(look));
  }
  const JobId other("other");
  EXPECT_LT(interference.Budget(other, "service", 0.8, At(10)),
            interference.Budget(kJob, "service", 0.8, At(10)) - 0.2);
}

TEST(InterferenceEstimator, OneOutlierDoesNotDecide)
{
  InterferenceEstimator interference;
  const ImageLoad beside[] = { { "image", 7.0 } };
  interference.Observe(kJob, "service", std::log(100.0), beside, At(0));
  EXPECT_LT(interference.PerCore("service", "image"), 0.12);
}

} // namespace

} // namespace foxtailbarrow::cell::test
