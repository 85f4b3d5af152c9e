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
      health.OnEnded(
        At((call - 1) * 300), StoreCallEnd::Served, At(call * 300 + 70));
    }
    EXPECT_TRUE(health.Answers(At(call * 300 + 299)));
  }
}

TEST(StoreHealth, StaysSilentAfterATimeoutUntilAnAnswer)
{
  StoreHealth health;
  health.OnSent(At(0));
  health.OnEnded(At(0), StoreCallEnd::Unanswered, At(1000));
  EXPECT_FALSE(health.Answers(At(1001)));
  health.OnSent(At(1100));
  EXPECT_FALSE(health.Answers(At(1101)));
  health.OnEnded(At(1100), StoreCallEnd::Served, At(1104));
  EXPECT_TRUE(health.Answers(At(1105)));
}

TEST(StoreHealth, AWatchsAnswerShowsThatTheStoreAnswers)
{
  StoreHealth health;
  health.OnSent(At(0));
  health.OnEnded(At(0), StoreCallEnd::Unanswered, At(1000));
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
  health.OnEnded(At(200), StoreCallEnd::Unanswered, At(1200));
  EXPECT_EQ(health.SilentFor(At(2200)), milliseconds(2000));
}

/// A store that refuses all calls is no less away than a silent one: callers
/// that were always told the shortest delay gave up before it was back.
struct OutageCase
{
  const char* mName;
  std::vector<StoreCallEnd> mEnds; ///< A call each second, from 1 s on.
  Duration mAge;                   ///< Half a second after the last.
};

class OutageAgeTest : public testing::TestWithParam<OutageCase>
{};

TEST_P(OutageAgeTest, CountsFromTheFirstCallThatWasNotServed)
{
  StoreHealth health;
  int at = 0;
  for (const StoreCallEnd end : GetParam().mEnds) {
    at += 1000;
    health.OnSent(At(at));
    health.OnEnded(At(at), end, At(at + 4));
  }
  EXPECT_EQ(health.OutageAge(At(at + 500)), GetParam().mAge);
}

constexpr StoreCallEnd kServed = StoreCallEnd::Served;
constexpr StoreCallEnd kRefused = StoreCallEnd::Refused;
constexpr StoreCallEnd kUnanswered = StoreCallEnd::Unanswered;

INSTANTIATE_TEST_SUITE_P(
  All,
  OutageAgeTest,
  testing::Values(OutageCase{ "None", { kServed, kServed }, Duration::zero() },
                  OutageCase{ "OneRefusal",
                              { kServed, kRefused, kServed },
                              Duration::zero() },
                  OutageCase{ "Refusals",
                              { kServed, kRefused, kRefused, kRefused },
                              milliseconds(2500) },
                  OutageCase{ "RefusalsThenSilence",
                              { kRefused, kRefused, kUnanswered },
                              milliseconds(2500) },
                  OutageCase{ "SilenceThenRefusals",
                              { kUnanswered, kRefused, kRefused },
                              milliseconds(2500) },
                  OutageCase{ "ServedOnceBetween",
                              { kRefused, kServed, kRefused, kRefused },
                              milliseconds(1500) }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

/// A store without a quorum still serves serializable reads.
TEST(StoreHealth, ASerializableReadDoesNotEndASilence)
{
  StoreHealth health;
  health.OnSent(At(0));
  health.OnEnded(At(0), StoreCallEnd::Unanswered, At(1000));
  health.OnSent(At(1100));
  health.OnSerializableRead(At(1100), At(1104));
  EXPECT_FALSE(health.Answers(At(1105)));
  EXPECT_EQ(health.SinceAnswer(At(1204)), milliseconds(100));
}

TEST(StoreHealth, SerializableReadsDoNotHideAWriteWithoutAnAnswer)
{
  StoreHealth health;
  health.OnAnswer(At(0));
  health.OnSent(At(10)); // The write.
  health.OnSent(At(300));
  health.OnSerializableRead(At(300), At(304));
  EXPECT_TRUE(health.Answers(At(400)));
  EXPECT_FALSE(health.Answers(At(460)));
}

TEST(StoreHealth, ASerializableReadWithoutAnAnswerShowsASilence)
{
  StoreHealth health;
  health.OnAnswer(At(0));
  health.OnSent(At(300));
  EXPECT_FALSE(health.Answers(At(760)));
}

TEST(StoreHealth, AStoreThatRefusesAnswers)
{
  StoreHealth health;
  health.OnSent(At(0));
  health.OnEnded(At(0), StoreCallEnd::Refused, At(4));
  EXPECT_TRUE(health.Answers(At(5)));
  EXPECT_EQ(health.SilentFor(At(1000)), Duration::zero());
}

} // namespace

} // namespace foxtailbarrow::cell::test
