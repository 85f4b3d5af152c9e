#include <ostream>
#include <thread>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "src/core/admission/CustomerAdmission.h"

namespace foxtailbarrow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{ seconds(1000) };

/// A share that covers every limit completely.
ShareAllocation FullShare()
{
  ShareAllocation basis;
  basis.mStandingPermille = 0;
  basis.mLiveEntries = 1;
  basis.mLeaseUntil = Instant::max();
  return basis;
}

Contract Limited(int aConcurrency, double aRate, int aBurst)
{
  Contract contract;
  contract.mMaxConcurrency = aConcurrency;
  contract.mRequestsPerSecond = aRate;
  contract.mBurst = aBurst;
  return contract;
}

RC_GTEST_PROP(TokenBucket, AdmitsAtMostRateAndBurstOverAnySpan, ())
{
  const BucketLimit limit{ *rc::gen::inRange(1, 10'000) / 10.0,
                           *rc::gen::inRange(1, 50) };
  const auto gaps =
    *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 200'000));
  TokenBucket bucket;
  Instant now = kStart;
  std::vector<Instant> taken;
  for (const int gap : gaps) {
    now += Duration(gap);
    if (const auto wait = bucket.TryTake(now, limit)) {
      RC_ASSERT(wait->count() > 0);
      now += *wait;
      RC_ASSERT(!bucket.TryTake(now, limit));
    }
    taken.push_back(now);
  }
  for (std::size_t i = 0; i < taken.size(); ++i) {
    for (std::size_t j = i; j < taken.size(); ++j) {
      const double span = static_cast<double>((taken[j] - taken[i]).count());
      RC_ASSERT(static_cast<double>(j - i + 1) <=
                limit.mPerSecond * span / 1e6 +
                  static_cast<double>(limit.mBurst) + 1e-3);
    }
  }
}

TEST(TokenBucket, GivesEachTokenToOneThread)
{
  TokenBucket bucket;
  std::atomic<int> taken = 0;
  std::vector<std::jthread> threads;
  for (int i = 0; i < 4; ++i) {
    threads.emplace_back([&] {
      for (int n = 0; n < 1000; ++n) {
        taken += bucket.TryTake(kStart, { 1, 777 }) ? 0 : 1;
      }
    });
  }
  threads.clear();
  EXPECT_EQ(taken, 777);
}

struct DecisionCase
{
  const char* mName;
  Contract mContract;
  AdmissionRequest mRequest;
  int mBefore;    ///< Requests admitted just before.
  Reason mReason; ///< None: admitted.
  Duration mRetryAfter;

  friend std::ostream& operator<<(std::ostream& aOut, const DecisionCase& aCase)
  {
    return aOut << aCase.mName;
  }
};

class Decisions : public testing::TestWithParam<DecisionCase>
{};

TEST_P(Decisions, FollowTheContract)
{
  const DecisionCase& test = GetParam();
  CustomerAdmission admission;
  for (int i = 0; i < test.mBefore; ++i) {
    admission.Decide(
      test.mContract, FullShare(), { .mNow = test.mRequest.mNow });
  }
  const std::int64_t before = admission.InProgress();
  const auto decision =
    admission.Decide(test.mContract, FullShare(), test.mRequest);
  if (test.mReason == Reason::None) {
    EXPECT_TRUE(std::holds_alternative<Admit>(decision));
    EXPECT_EQ(admission.InProgress(), before + 1);
    return;
  }
  ASSERT_TRUE(std::holds_alternative<Refuse>(decision));
  EXPECT_EQ(std::get<Refuse>(decision).mReason, test.mReason);
  EXPECT_EQ(std::get<Refuse>(decision).mRetryAfter, test.mRetryAfter);
  EXPECT_EQ(admission.InProgress(), before);
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  Decisions,
  testing::Values(DecisionCase{ "within all limits",
                                Limited(2, 10, 2),
                                { .mNow = kStart },
                                1,
                                Reason::None,
                                {} },
                  DecisionCase{ "concurrency spent",
                                Limited(2, 10, 9),
                                { .mNow = kStart },
                                2,
                                Reason::ConcurrencyLimit,
                                ConcurrencyGate::kDefaultInterval },
                  DecisionCase{ "no concurrency at all",
                                Limited(0, 10, 9),
                                { .mNow = kStart },
                                0,
                                Reason::ConcurrencyLimit,
                                kRetryWithoutShare },
                  DecisionCase{ "rate spent",
                                Limited(9, 10, 3),
                                { .mNow = kStart },
                                3,
                                Reason::RateLimit,
                                milliseconds(100) },
                  DecisionCase{ "rate spent, with jitter",
                                Limited(9, 10, 3),
                                { .mNow = kStart, .mJitter = 0.5 },
                                3,
                                Reason::RateLimit,
                                milliseconds(125) },
                  DecisionCase{ "no rate at all",
                                Limited(9, 0, 3),
                                { .mNow = kStart },
                                0,
                                Reason::RateLimit,
                                kRetryWithoutShare },
                  DecisionCase{ "deadline passed",
                                Limited(9, 10, 3),
                                { .mNow = kStart, .mDeadline = kStart },
                                0,
                                Reason::DeadlineTooShort,
                                milliseconds(10) },
                  DecisionCase{ "deadline before the expected wait",
                                Limited(9, 10, 3),
                                { .mNow = kStart,
                                  .mDeadline = kStart + milliseconds(50),
                                  .mExpectedWait = milliseconds(60) },
                                0,
                                Reason::DeadlineTooShort,
                                milliseconds(60) }));

TEST(ConcurrencyGate, EstimatesTheCompletionInterval)
{
  ConcurrencyGate gate;
  Instant now = kStart;
  for (int i = 0; i < 100; ++i) {
    ASSERT_TRUE(gate.TryEnter(1));
    ASSERT_FALSE(gate.TryEnter(1));
    now += milliseconds(7);
    gate.Leave(now);
  }
  EXPECT_EQ(gate.MeanInterval(), milliseconds(7));
  EXPECT_EQ(gate.InProgress(), 0);
}

} // namespace
} // namespace foxtailbarrow
