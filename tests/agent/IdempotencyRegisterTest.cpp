#include "src/core/agent/IdempotencyRegister.h"

#include <string>

#include <gtest/gtest.h>

namespace foxtailbarrow {
namespace {

using std::chrono::minutes;

const Instant kNow{ std::chrono::hours(1) };
const IdempotencyKey kKey{ CustomerId("qoima"), "k" };
constexpr std::uint64_t kFingerprint = 7;

StoredAnswer AnswerOf(std::size_t aBytes)
{
  return { 200, {}, std::string(aBytes, 'x') };
}

/// Index of the KeyedAttempt variant.
enum Kind : std::size_t
{
  Allowed,
  Duplicate,
  Mismatch,
  Revoked,
  Replay,
};

struct SecondCase
{
  const char* mName;
  std::optional<Verdict> mEnd; ///< Of the first attempt; none = still running.
  std::size_t mAnswerBytes;
  std::uint64_t mFingerprint;
  Duration mLater;
  Kind mExpected;
};

class SecondAttempt : public testing::TestWithParam<SecondCase>
{};

TEST_P(SecondAttempt, RunsOnlyIfTheFirstDidNot)
{
  const SecondCase& c = GetParam();
  IdempotencyRegister keys({});
  ASSERT_EQ(keys.Begin(kKey, kFingerprint, kNow).index(), Allowed);
  if (c.mEnd) {
    keys.Finish(kKey, *c.mEnd, AnswerOf(c.mAnswerBytes), kNow);
  }
  EXPECT_EQ(keys.Begin(kKey, c.mFingerprint, kNow + c.mLater).index(),
            c.mExpected);
}

INSTANTIATE_TEST_SUITE_P(
  All,
  SecondAttempt,
  testing::Values(
    SecondCase{ "running", {}, 0, kFingerprint, minutes(1), Duplicate },
    SecondCase{ "runningForLong", {}, 0, kFingerprint, minutes(60), Duplicate },
    SecondCase{ "ran", Verdict::Ran, 100, kFingerprint, minutes(1), Replay },
    SecondCase{ "long",
                Verdict::Ran,
                16'385,
                kFingerprint,
                minutes(1),
                Duplicate },
    SecondCase{ "notRun",
                Verdict::NotRun,
                0,
                kFingerprint,
                minutes(1),
                Allowed },
    SecondCase{ "other",
                Verdict::Ran,
                100,
                kFingerprint + 1,
                minutes(1),
                Mismatch },
    SecondCase{ "old", Verdict::Ran, 100, kFingerprint, minutes(10), Allowed }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

struct RevokeKeyCase
{
  const char* mName;
  bool mBegun;
  std::optional<Verdict> mEnd;
  Verdict mExpected;
};

class RevokeKey : public testing::TestWithParam<RevokeKeyCase>
{};

TEST_P(RevokeKey, ReturnsNotRunOnlyIfNothingRan)
{
  IdempotencyRegister keys({});
  if (GetParam().mBegun) {
    keys.Begin(kKey, kFingerprint, kNow);
  }
  if (GetParam().mEnd) {
    keys.Finish(kKey, *GetParam().mEnd, AnswerOf(1), kNow);
  }
  const KeyRevocation first = keys.Revoke(kKey, kNow);
  EXPECT_EQ(first.mVerdict, GetParam().mExpected);
  EXPECT_FALSE(first.mPromisedBefore);
  const bool isRevoked = GetParam().mExpected == Verdict::NotRun;
  EXPECT_EQ(keys.Revoke(kKey, kNow).mPromisedBefore, isRevoked);
  EXPECT_EQ(keys.Begin(kKey, kFingerprint, kNow).index() == Revoked, isRevoked);
}

INSTANTIATE_TEST_SUITE_P(
  All,
  RevokeKey,
  testing::Values(
    RevokeKeyCase{ "unknown", false, {}, Verdict::NotRun },
    RevokeKeyCase{ "refused", true, Verdict::NotRun, Verdict::NotRun },
    RevokeKeyCase{ "running", true, {}, Verdict::MayHaveRun },
    RevokeKeyCase{ "lost", true, Verdict::MayHaveRun, Verdict::MayHaveRun },
    RevokeKeyCase{ "ran", true, Verdict::Ran, Verdict::Ran }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

TEST(IdempotencyRegister, DropsTheOldestAnswersFirst)
{
  IdempotencyLimits limits;
  limits.mMaxBytes = 1'000;
  IdempotencyRegister keys(limits);
  for (const char* const name : { "a", "b", "c" }) {
    keys.Begin({ CustomerId("q"), name }, kFingerprint, kNow);
    keys.Finish({ CustomerId("q"), name }, Verdict::Ran, AnswerOf(400), kNow);
  }
  const auto again = [&keys](const char* aName) {
    return keys.Begin({ CustomerId("q"), aName }, kFingerprint, kNow).index();
  };
  EXPECT_EQ(again("a"), Duplicate);
  EXPECT_EQ(again("b"), Replay);
  EXPECT_EQ(again("c"), Replay);
}

TEST(IdempotencyRegister, StaysWithinItsSize)
{
  IdempotencyLimits limits;
  limits.mMaxKeys = 10;
  IdempotencyRegister keys(limits);
  for (int i = 0; i < 100; ++i) {
    const IdempotencyKey key{ CustomerId("q"), std::to_string(i) };
    keys.Begin(key, kFingerprint, kNow);
    keys.Finish(key, Verdict::Ran, AnswerOf(10), kNow);
  }
  EXPECT_LE(keys.Size(), 11U);
}

} // namespace
} // namespace foxtailbarrow
