#include <gtest/gtest.h>

#include "src/core/cell/StoreHealth.h"

namespace foxtailbarrow::cell::test {

namespace {

using std::chrono::milliseconds;

constexpr Instant kBegin{ std::chrono::seconds(100) };

Instant At(int aMs)
{
  return kBegin + milliseconds(aMs);
}

TEST(StoreHealth, AnswersWhileNothingIsUnderWay)
{
  EXPECT_TRUE(StoreHealth().Answers(At(0)));
}

TEST(StoreHealth, IsSilentWhileCallsWaitWithoutAnyAnswer)
{
  StoreHealth health;
  health.OnSent(At(0));
  EXPECT_TRUE(health.Answers(At(400)));
  EXPECT_FALSE(health.Answers(At(460)));
}

TEST(StoreHealth, ASlowStoreAnswers)
{
  StoreHealth health;
  for (int call = 0; call < 10; ++call) {
    health.OnSent(At(call * 300));
    if (call > 0) {
      EXPECT_TRUE(health.Answers(At(call * 300 + 69)));
      health.OnEnded(At((call - 1) * 300), true, At(call * 300 + 70));
    }
    EXPECT_TRUE(health.Answers(At(call * 300 + 299)));
  }
}

TEST(StoreHealth, StaysSilentAfterATimeoutUntilAnAnswer)
{
  StoreHealth health;
  health.OnSent(At(0));
  health.OnEnded(At(0), false, At(1000));
  EXPECT_FALSE(health.Answers(At(1001)));
  health.OnSent(At(1100));
  EXPECT_FALSE(health.Answers(At(1101)));
  health.OnEnded(At(1100), true, At(1104));
  EXPECT_TRUE(health.Answers(At(1105)));
}

TEST(StoreHealth, AWatchsAnswerShowsThatTheStoreAnswers)
{
  StoreHealth health;
  health.OnSent(At(0));
  health.OnEnded(At(0), false, At(1000));
  EXPECT_FALSE(health.Answers(At(1000)));
  health.OnAnswer(At(1200));
  EXPECT_TRUE(health.Answers(At(1200)));
  EXPECT_EQ(health.SinceAnswer(At(1500)), milliseconds(300));
}

TEST(StoreHealth, ReportsHowLongTheStoreHasBeenSilent)
{
  StoreHealth health;
  health.OnAnswer(At(100));
  EXPECT_EQ(health.SilentFor(At(150)), Duration::zero());
  health.OnSent(At(200));
  health.OnEnded(At(200), false, At(1200));
  EXPECT_EQ(health.SilentFor(At(2200)), milliseconds(2000));
}

} // namespace

} // namespace foxtailbarrow::cell::test
