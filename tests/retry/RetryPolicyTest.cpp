#include "src/core/retry/RetryPolicy.h"

#include <ostream>
#include <random>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "src/core/retry/WorstVerdict.h"

namespace foxtailbarrow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{ std::chrono::hours(1) };

FailedAttempt AttemptOf(Verdict aVerdict, bool aIdempotent)
{
  FailedAttempt attempt;
  attempt.mVerdict = aVerdict;
  attempt.mIdempotent = aIdempotent;
  attempt.mRemaining = seconds(1);
  return attempt;
}

FailedAttempt With(FailedAttempt aAttempt, Reason aReason)
{
  aAttempt.mReason = aReason;
  return aAttempt;
}

FailedAttempt WithEarlier(FailedAttempt aAttempt, Verdict aEarlier)
{
  aAttempt.mEarlierVerdict = aEarlier;
  return aAttempt;
}

FailedAttempt WithRemaining(FailedAttempt aAttempt, Duration aRemaining)
{
  aAttempt.mRemaining = aRemaining;
  return aAttempt;
}

FailedAttempt WithAttempts(FailedAttempt aAttempt, int aAttempts)
{
  aAttempt.mAttempts = aAttempts;
  return aAttempt;
}

struct Case
{
  const char* mName;
  FailedAttempt mAttempt;
  bool mIsRetried;
  bool mHasRetryAfter;
  Verdict mVerdict;
};

void PrintTo(const Case& aCase, std::ostream* aStream)
{
  *aStream << aCase.mName;
}

class Decision : public testing::TestWithParam<Case>
{};

TEST_P(Decision, FollowsTheVerdict)
{
  RetryBudget budget({}, kStart);
  std::mt19937_64 random(1);
  const auto decision =
    RetryPolicy().Decide(GetParam().mAttempt, budget, kStart, random);
  ASSERT_EQ(std::holds_alternative<Retry>(decision), GetParam().mIsRetried);
  if (const auto* answer = std::get_if<GiveUp>(&decision)) {
    EXPECT_EQ(answer->mVerdict, GetParam().mVerdict);
    EXPECT_EQ(answer->mRetryAfter.has_value(), GetParam().mHasRetryAfter);
  }
}

constexpr auto kNotRun = Verdict::NotRun;
constexpr auto kMayHaveRun = Verdict::MayHaveRun;

INSTANTIATE_TEST_SUITE_P(
  All,
  Decision,
  testing::Values(
    Case{ "NotRun", AttemptOf(kNotRun, false), true, false, kNotRun },
    Case{ "Unclear", AttemptOf(kMayHaveRun, false), false, false, kMayHaveRun },
    Case{ "Idempotent", AttemptOf(kMayHaveRun, true), true, false, kNotRun },
    Case{ "Ran", AttemptOf(Verdict::Ran, true), false, false, Verdict::Ran },
    Case{ "Busy",
          With(AttemptOf(kNotRun, false), Reason::BackendServersBusy),
          true,
          false,
          kNotRun },
    Case{ "OverTheRate",
          With(AttemptOf(kNotRun, true), Reason::RateLimit),
          false,
          true,
          kNotRun },
    Case{ "KeyRevoked",
          With(AttemptOf(kNotRun, false), Reason::DuplicateRequest),
          true,
          false,
          kNotRun },
    Case{ "Duplicate",
          With(AttemptOf(kMayHaveRun, false), Reason::DuplicateRequest),
          false,
          false,
          kMayHaveRun },
    Case{ "LastAttempt",
          WithAttempts(AttemptOf(kNotRun, true), 3),
          false,
          true,
          kNotRun },
    Case{ "EarlierOneMayHaveRun",
          WithAttempts(WithEarlier(AttemptOf(kNotRun, true), kMayHaveRun), 3),
          false,
          true,
          kMayHaveRun },
    Case{ "DeadlineNear",
          WithRemaining(AttemptOf(kNotRun, true), milliseconds(4)),
          false,
          true,
          kNotRun }),
  [](const auto& aInfo) { return aInfo.param.mName; });

RC_GTEST_PROP(RetryPolicyProperty, NeverRetriesWhatMayHaveRun, ())
{
  FailedAttempt attempt = AttemptOf(Verdict::MayHaveRun, false);
  attempt.mEarlierVerdict =
    *rc::gen::element(Verdict::NotRun, Verdict::MayHaveRun);
  if (attempt.mEarlierVerdict == Verdict::MayHaveRun) {
    attempt.mVerdict = *rc::gen::element(Verdict::NotRun, Verdict::MayHaveRun);
  }
  attempt.mReason = static_cast<Reason>(*rc::gen::inRange(0, 28));
  attempt.mAttempts = *rc::gen::inRange(1, 5);
  attempt.mRemaining = milliseconds(*rc::gen::inRange(0, 10'000));
  RetryBudget budget({}, kStart);
  std::mt19937_64 random(*rc::gen::arbitrary<unsigned>());
  const auto decision = RetryPolicy().Decide(attempt, budget, kStart, random);
  const auto* answer = std::get_if<GiveUp>(&decision);
  RC_ASSERT(answer != nullptr);
  RC_ASSERT(answer->mVerdict == Verdict::MayHaveRun);
  RC_ASSERT(!answer->mRetryAfter.has_value());
}

RC_GTEST_PROP(RetryBudgetProperty, KeepsRetriesToTheRatioPlusTheMinimum, ())
{
  const RetryBudgetSettings settings;
  RetryBudget budget(settings, kStart);
  const int requests = *rc::gen::inRange(0, 5'000);
  const int duration = *rc::gen::inRange(1, 10);
  int retries = 0;
  for (int i = 0; i < requests; ++i) {
    budget.OnFirstAttempt();
    const Duration now = Duration(seconds(duration)) * i / requests;
    retries += budget.TryTake(kStart + now) ? 1 : 0;
  }
  const double allowed =
    requests * settings.mRatio + (duration + 1) * settings.mPerSecond + 1;
  RC_ASSERT(retries <= allowed);
  RC_ASSERT(retries >=
            std::min<double>(requests, requests * settings.mRatio) - 1);
}

TEST(RetryBudget, SavesUpToItsMaximumOnly)
{
  RetryBudget budget({ .mRatio = 0.1, .mPerSecond = 10, .mMaxSaved = 5 },
                     kStart);
  int taken = 0;
  while (budget.TryTake(kStart + seconds(3600))) {
    ++taken;
  }
  EXPECT_EQ(taken, 5);
}

TEST(WorstVerdict, IsNotRunOnlyWhenBothAre)
{
  for (const auto other : { kNotRun, kMayHaveRun, Verdict::Ran }) {
    EXPECT_EQ(WorstVerdict(kNotRun, other), other);
    EXPECT_EQ(WorstVerdict(other, kNotRun), other);
  }
  EXPECT_EQ(WorstVerdict(kMayHaveRun, Verdict::Ran), kMayHaveRun);
}

} // namespace
} // namespace foxtailbarrow
