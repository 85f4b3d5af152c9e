#include <gtest/gtest.h>

#include "src/core/cell/StorePulse.h"

namespace foxtailbarrow::cell::test {

namespace {

using std::chrono::milliseconds;

constexpr Instant kBegin{ std::chrono::seconds(100) };

Instant At(int aMs)
{
  return kBegin + milliseconds(aMs);
}

TEST(StorePulse, AnswersWhileNothingIsUnderWay)
{
  EXPECT_TRUE(StorePulse().Answers(At(0)));
}

TEST(StorePulse, IsSilentWhileCallsWaitWithoutAnyAnswer)
{
  StorePulse pulse;
  pulse.NoteSent(At(0));
  EXPECT_TRUE(pulse.Answers(At(400)));
  EXPECT_FALSE(pulse.Answers(At(460)));
}

TEST(StorePulse, ASlowStoreAnswers)
{
  StorePulse pulse;
  for (int call = 0; call < 10; ++call) {
    pulse.NoteSent(At(call * 300));
    if (call > 0) {
      EXPECT_TRUE(pulse.Answers(At(call * 300 + 69)));
      pulse.NoteEnded(At((call - 1) * 300), true, At(call * 300 + 70));
    }
    EXPECT_TRUE(pulse.Answers(At(call * 300 + 299)));
  }
}

TEST(StorePulse, StaysSilentAfterATimeoutUntilAnAnswer)
{
  StorePulse pulse;
  pulse.NoteSent(At(0));
  pulse.NoteEnded(At(0), false, At(1000));
  EXPECT_FALSE(pulse.Answers(At(1001)));
  pulse.NoteSent(At(1100));
  EXPECT_FALSE(pulse.Answers(At(1101)));
  pulse.NoteEnded(At(1100), true, At(1104));
  EXPECT_TRUE(pulse.Answers(At(1105)));
}

TEST(StorePulse, AWatchsAnswerShowsThatTheStoreAnswers)
{
  StorePulse pulse;
  pulse.NoteSent(At(0));
  pulse.NoteEnded(At(0), false, At(1000));
  EXPECT_FALSE(pulse.Answers(At(1000)));
  pulse.NoteHeard(At(1200));
  EXPECT_TRUE(pulse.Answers(At(1200)));
  EXPECT_EQ(pulse.SinceAnswer(At(1500)), milliseconds(300));
}

TEST(StorePulse, TellsForHowLongTheStoreHasBeenSilent)
{
  StorePulse pulse;
  pulse.NoteHeard(At(100));
  EXPECT_EQ(pulse.SilentFor(At(150)), Duration::zero());
  pulse.NoteSent(At(200));
  pulse.NoteEnded(At(200), false, At(1200));
  EXPECT_EQ(pulse.SilentFor(At(2200)), milliseconds(2000));
}

} // namespace

} // namespace foxtailbarrow::cell::test
