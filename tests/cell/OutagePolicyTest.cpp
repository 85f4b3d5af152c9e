#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "src/core/cell/OutagePolicy.h"

namespace foxtailbarrow::cell::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct RetryDelayCase
{
  const char* mName;
  Duration mAge;
  double mRandom;
  Duration mWait;
};

class RetryDelayTest : public testing::TestWithParam<RetryDelayCase>
{};

TEST_P(RetryDelayTest, FollowsTheOutagesAge)
{
  EXPECT_EQ(RetryDelay(GetParam().mAge, GetParam().mRandom), GetParam().mWait);
}

INSTANTIATE_TEST_SUITE_P(
  All,
  RetryDelayTest,
  testing::Values(
    RetryDelayCase{ "AtTheStart", milliseconds(0), 0.5, seconds(1) },
    RetryDelayCase{ "NeverBelowASecond", seconds(2), 0.0, seconds(1) },
    RetryDelayCase{ "HalfOfTheAge", seconds(6), 0.5, seconds(3) },
    RetryDelayCase{ "SpreadDown", seconds(6), 0.01, seconds(2) },
    RetryDelayCase{ "SpreadUp", seconds(6), 0.99, seconds(4) },
    RetryDelayCase{ "Bounded", seconds(600), 0.99, seconds(6) }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

RC_GTEST_PROP(RetryDelay, IsSpreadOverLongOutages, ())
{
  const auto age = seconds(*rc::gen::inRange(6, 100));
  const Duration early = RetryDelay(age, 0.0);
  const Duration late = RetryDelay(age, 0.999);
  RC_ASSERT(late >= early + seconds(2));
}

TEST(OutagePolicyTest, PeersThatRefusedAreAskedAgainLater)
{
  OutagePolicy policy;
  const Instant now{ seconds(100) };
  EXPECT_TRUE(policy.MayForward(now));
  policy.OnPeersRefused(now);
  EXPECT_FALSE(policy.MayForward(now + milliseconds(299)));
  EXPECT_TRUE(policy.MayForward(now + milliseconds(300)));
}

/// A job whose first submission may have been stored must not be answered as
/// not run when it is submitted again.
TEST(OutagePolicyTest, AJobInDoubtStaysSoUntilItsFateIsKnown)
{
  OutagePolicy policy;
  const Instant now{ seconds(100) };
  const JobId job("job");
  EXPECT_FALSE(policy.InDoubt(job, now));
  policy.MarkInDoubt(job, now);
  EXPECT_TRUE(policy.InDoubt(job, now + seconds(20)));
  EXPECT_FALSE(policy.InDoubt(JobId("other"), now));
  policy.OnSettled(job);
  EXPECT_FALSE(policy.InDoubt(job, now));
}

TEST(OutagePolicyTest, DoubtsAreForgottenAfterAWhile)
{
  OutagePolicy policy;
  const Instant now{ seconds(100) };
  policy.MarkInDoubt(JobId("job"), now);
  EXPECT_FALSE(policy.InDoubt(
    JobId("job"), now + OutagePolicy::kInDoubtFor + milliseconds(1)));
}

} // namespace

} // namespace foxtailbarrow::cell::test
