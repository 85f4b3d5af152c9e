#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "src/core/cell/OutageAnswers.h"

namespace foxtailbarrow::cell::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct ReturnCase
{
  const char* mName;
  Duration mAge;
  double mRandom;
  Duration mWait;
};

class ReturnAfterTest : public testing::TestWithParam<ReturnCase>
{};

TEST_P(ReturnAfterTest, FollowsTheOutagesAge)
{
  EXPECT_EQ(ReturnAfter(GetParam().mAge, GetParam().mRandom), GetParam().mWait);
}

INSTANTIATE_TEST_SUITE_P(
  All,
  ReturnAfterTest,
  testing::Values(
    ReturnCase{ "Begins", milliseconds(0), 0.5, seconds(1) },
    ReturnCase{ "NeverBelowASecond", seconds(2), 0.0, seconds(1) },
    ReturnCase{ "HalfOfTheAge", seconds(6), 0.5, seconds(3) },
    ReturnCase{ "SpreadDown", seconds(6), 0.01, seconds(2) },
    ReturnCase{ "SpreadUp", seconds(6), 0.99, seconds(4) },
    ReturnCase{ "Bounded", seconds(600), 0.99, seconds(6) }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

RC_GTEST_PROP(ReturnAfter, IsSpreadOverLongOutages, ())
{
  const auto age = seconds(*rc::gen::inRange(6, 100));
  const Duration early = ReturnAfter(age, 0.0);
  const Duration late = ReturnAfter(age, 0.999);
  RC_ASSERT(late >= early + seconds(2));
}

TEST(OutageAnswersTest, PeersThatRefusedAreAskedAgainLater)
{
  OutageAnswers answers;
  const Instant now{ seconds(100) };
  EXPECT_TRUE(answers.MayForward(now));
  answers.NotePeersRefused(now);
  EXPECT_FALSE(answers.MayForward(now + milliseconds(299)));
  EXPECT_TRUE(answers.MayForward(now + milliseconds(300)));
}

/// A job whose first submission may have been stored was told to have not run
/// when it was handed in again.
TEST(OutageAnswersTest, AJobInDoubtStaysSoUntilItsFateIsKnown)
{
  OutageAnswers answers;
  const Instant now{ seconds(100) };
  const JobId job("job");
  EXPECT_FALSE(answers.InDoubt(job, now));
  answers.NoteInDoubt(job, now);
  EXPECT_TRUE(answers.InDoubt(job, now + seconds(20)));
  EXPECT_FALSE(answers.InDoubt(JobId("other"), now));
  answers.NoteSettled(job);
  EXPECT_FALSE(answers.InDoubt(job, now));
}

TEST(OutageAnswersTest, DoubtsAreForgottenAfterAWhile)
{
  OutageAnswers answers;
  const Instant now{ seconds(100) };
  answers.NoteInDoubt(JobId("job"), now);
  EXPECT_FALSE(answers.InDoubt(
    JobId("job"), now + OutageAnswers::kInDoubtFor + milliseconds(1)));
}

} // namespace

} // namespace foxtailbarrow::cell::test
