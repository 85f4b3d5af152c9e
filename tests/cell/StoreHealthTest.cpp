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
  StoreHealth pulse;
  pulse.OnSent(At(0));
  EXPECT_TRUE(pulse.Answers(At(400)));
  EXPECT_FALSE(pulse.Answers(At(460)));
}

TEST(StoreHealth, ASlowStoreAnswers)
{
  StoreHealth pulse;
  for (int call = 0; call < 10; ++call) {
    pulse.OnSent(At(call * 300));
    if (call > 0) {
      EXPECT_TRUE(pulse.Answers(At(call * 300 + 69)));
      pulse.OnEnded(At((call - 1) * 300), true, At(call * 300 + 70));
    }
    EXPECT_TRUE(pulse.Answers(At(call * 300 + 299)));
  }
}

TEST(StoreHealth, StaysSilentAfterATimeoutUntilAnAnswer)
{
  StoreHealth pulse;
  pulse.OnSent(At(0));
  pulse.OnEnded(At(0), false, At(1000));
  EXPECT_FALSE(pulse.Answers(At(1001)));
  pulse.OnSent(At(1100));
  EXPECT_FALSE(pulse.Answers(At(1101)));
  pulse.OnEnded(At(1100), true, At(1104));
  EXPECT_TRUE(pulse.Answers(At(1105)));
}

TEST(StoreHealth, AWatchsAnswerShowsThatTheStoreAnswers)
{
  StoreHealth pulse;
  pulse.OnSent(At(0));
  pulse.OnEnded(At(0), false, At(1000));
  EXPECT_FALSE(pulse.Answers(At(1000)));
  pulse.OnAnswer(At(1200));
  EXPECT_TRUE(pulse.Answers(At(1200)));
  EXPECT_EQ(pulse.SinceAnswer(At(1500)), milliseconds(300));
}

TEST(StoreHealth, TellsForHowLongTheStoreHasBeenSilent)
{
  StoreHealth pulse;
  pulse.OnAnswer(At(100));
  EXPECT_EQ(pulse.SilentFor(At(150)), Duration::zero());
  pulse.OnSent(At(200));
  pulse.OnEnded(At(200), false, At(1200));
  EXPECT_EQ(pulse.SilentFor(At(2200)), milliseconds(2000));
}

} // namespace

} // namespace foxtailbarrow::cell::test
