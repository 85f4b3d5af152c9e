#include <random>

#include <gtest/gtest.h>

#include "src/core/retry/Backoff.h"

namespace foxtailbarrow::test {

namespace {

using std::chrono::milliseconds;

constexpr Duration kFirst = milliseconds(100);
constexpr Duration kLongest = milliseconds(1000);

/// Fixed pauses let every process call at a constant rate for as long as what
/// it calls is away, and all in step.
struct BackoffCase
{
  const char* mName;
  int mFailed; ///< Attempts before.
  Duration mBound;
};

class BackoffTest : public testing::TestWithParam<BackoffCase>
{};

TEST_P(BackoffTest, DrawsBelowABoundThatDoubles)
{
  constexpr int kDraws = 500;
  std::mt19937_64 random(7);
  Duration longest{};
  Duration sum{};
  for (int draw = 0; draw < kDraws; ++draw) {
    Backoff backoff(kFirst, kLongest);
    for (int i = 0; i < GetParam().mFailed; ++i) {
      backoff.Next(random);
    }
    const Duration pause = backoff.Next(random);
    longest = std::max(longest, pause);
    sum += pause;
  }
  EXPECT_LE(longest, GetParam().mBound);
  EXPECT_GT(longest, GetParam().mBound * 9 / 10);
  EXPECT_GT(sum / kDraws, GetParam().mBound * 4 / 10);
  EXPECT_LT(sum / kDraws, GetParam().mBound * 6 / 10);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         BackoffTest,
                         testing::Values(BackoffCase{ "First", 0, kFirst },
                                         BackoffCase{ "Second", 1, 2 * kFirst },
                                         BackoffCase{ "Fourth", 3, 8 * kFirst },
                                         BackoffCase{ "Bounded", 9, kLongest }),
                         [](const auto& aInfo) {
                           return std::string(aInfo.param.mName);
                         });

TEST(BackoffReset, StartsAgainAfterASuccess)
{
  std::mt19937_64 random(7);
  Backoff backoff(kFirst, kLongest);
  for (int i = 0; i < 9; ++i) {
    backoff.Next(random);
  }
  backoff.Reset();
  EXPECT_LE(backoff.Next(random), kFirst);
}

} // namespace

} // namespace foxtailbarrow::test
