#include <cmath>
#include <random>

#include <gtest/gtest.h>

#include "src/core/cell/Interference.h"

namespace foxtailbarrow::cell::test {

namespace {

const AgentId kWorker("worker");

/// Looks come half a second apart.
Instant At(int aLook)
{
  return Instant(std::chrono::seconds(100)) +
         aLook * std::chrono::milliseconds(500);
}

TEST(Interference, TellsHeavyPairsFromLightOnes)
{
  constexpr double kHeavy = 0.12;
  std::mt19937 random(1);
  std::normal_distribution<double> noise(0.0, 0.5);
  std::uniform_int_distribution<int> cores(0, 14);
  Interference interference;
  for (int look = 0; look < 400; ++look) {
    const ImageLoad beside[] = { { "heavy", 1.0 * cores(random) },
                                 { "light", 1.0 * cores(random) } };
    interference.Observe(kWorker,
                         "service",
                         std::log(0.45) + kHeavy * beside[0].mCores +
                           noise(random),
                         beside,
                         At(look));
  }
  EXPECT_NEAR(interference.PerCore("service", "heavy"), kHeavy, 0.03);
  EXPECT_LT(interference.PerCore("service", "light"), 0.03);
}

TEST(Interference, TakesAnUnknownPairForAverage)
{
  const Interference interference;
  EXPECT_EQ(interference.PerCore("service", "new"),
            InterferenceSettings().mPriorPerCore);
  EXPECT_GT(interference.Budget("service", 0.8), 0);
}

TEST(Interference, KeepsOnlyWhatItIsSureOf)
{
  constexpr std::size_t kAll = 10;
  Interference interference;
  const ImageLoad often[] = { { "often", 10.0 } };
  const ImageLoad once[] = { { "once", 1.0 } };
  for (int look = 0; look < 100; ++look) {
    interference.Observe(
      kWorker, "service", std::log(0.45) + 0.5, often, At(look));
  }
  interference.Observe(kWorker, "service", 0.0, once, At(100));
  const LearnedInterference learned = interference.WellKnown(kAll);
  ASSERT_EQ(learned.mPairs.size(), 1U);
  EXPECT_EQ(learned.mPairs[0].mLeftover, "often");

  Interference next;
  next.Adopt(learned);
  EXPECT_EQ(next.PerCore("service", "often"),
            interference.PerCore("service", "often"));
  EXPECT_EQ(next.PerCore("service", "once"),
            InterferenceSettings().mPriorPerCore);
  EXPECT_TRUE(interference.WellKnown(0).mPairs.empty());
}

TEST(Interference, OneOutlierDoesNotDecide)
{
  Interference interference;
  const ImageLoad beside[] = { { "image", 7.0 } };
  interference.Observe(kWorker, "service", std::log(100.0), beside, At(0));
  EXPECT_LT(interference.PerCore("service", "image"), 0.12);
}

} // namespace

} // namespace foxtailbarrow::cell::test
