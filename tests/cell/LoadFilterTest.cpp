#include <cmath>
#include <numbers>

#include <gtest/gtest.h>

#include "src/core/cell/LoadFilter.h"

namespace foxtailbarrow::cell::test {

namespace {

constexpr double kNoise = 0.02;

Instant At(double aSeconds)
{
  return Instant(std::chrono::seconds(100)) +
         std::chrono::milliseconds(std::lround(aSeconds * 1000));
}

struct Wave
{
  const char* mName;
  double mReach;
  double mPeriodS;
  double mMostError; ///< Of a forecast of one second.
};

class FollowedWave : public testing::TestWithParam<Wave>
{
protected:
  static double Level(double aSeconds)
  {
    return -0.75 + GetParam().mReach * std::sin(2 * std::numbers::pi *
                                                aSeconds / GetParam().mPeriodS);
  }
};

TEST_P(FollowedWave, IsKnownASecondAhead)
{
  LoadFilter track(-0.5, 0.1, At(0));
  constexpr double kLookS = 0.1;
  for (int look = 1; look < 400; ++look) {
    const double now = look * kLookS;
    track.Predict(At(now));
    track.Correct(Level(now) - track.Level(), kNoise);
    if (now > GetParam().mPeriodS) {
      EXPECT_NEAR(
        track.LevelAt(At(now + 1)), Level(now + 1), GetParam().mMostError)
        << now;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Table,
                         FollowedWave,
                         testing::Values(Wave{ "Still", 0, 10, 0.02 },
                                         Wave{ "Slow", 0.5, 14, 0.2 },
                                         Wave{ "Fast", 0.5, 10, 0.3 }),
                         [](const auto& aInfo) {
                           return std::string(aInfo.param.mName);
                         });

TEST(LoadFilter, DoubtGrowsWithTimeAndShrinksWithLooks)
{
  LoadFilter track(-0.5, 0.1, At(0));
  track.Correct(0.1, kNoise);
  const double seen = track.Variance();
  EXPECT_LT(seen, 0.1);
  track.Predict(At(2));
  EXPECT_GT(track.Variance(), seen);
}

TEST(LoadFilter, AnOlderTimeChangesNothing)
{
  LoadFilter track(-0.5, 0.1, At(5));
  track.Correct(0.2, kNoise);
  const double level = track.Level();
  track.Predict(At(4));
  EXPECT_EQ(track.Level(), level);
  EXPECT_EQ(track.PredictedAt(), At(5));
}

TEST(LoadFilter, AForecastIsBounded)
{
  LoadFilterSettings settings;
  LoadFilter track(0, 0.1, At(0), settings);
  for (int look = 1; look < 20; ++look) {
    track.Predict(At(look * 0.1));
    track.Correct(look * 0.1 - track.Level(), kNoise);
  }
  EXPECT_LE(track.LevelAt(At(100)), track.Level() + settings.mMaxChange);
}

} // namespace

} // namespace foxtailbarrow::cell::test
