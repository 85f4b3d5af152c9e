#include "src/core/agent/IdempotencyRegister.h"

#include <string>

#include <gtest/gtest.h>

namespace foxtailbarrow {
namespace {

using std::chrono::minutes;

const Instant kNow{ std::chrono::hours(1) };
const IdempotencyKey kKey{ CustomerId("qoima"), "k" };
constexpr std::uint64_t kPrint = 7;

StoredAnswer AnswerOf(std::size_t aBytes)
{
  return { 200, {}, std::string(aBytes, 'x') };
}

/// Index of the variant: allowed, duplicate, mismatch, promised, replay.
enum Kind : std::size_t
{
  Allowed,
  Duplicate,
  Mismatch,
  Promised,
  Replay,
};

struct SecondCase
{
  const char* mName;
  std::optional<Verdict> mEnd; ///< Of the first attempt; none = it still runs.
  std::size_t mAnswerBytes;
  std::uint64_t mPrint;
  Duration mLater;
  Kind mExpected;
};

class SecondAttempt : public testing::TestWithParam<SecondCase>
{};

TEST_P(SecondAttempt, RunsOnlyWhereTheFirstDidNot)
{
  const SecondCase& c = GetParam();
  IdempotencyRegister keys({});
  ASSERT_EQ(keys.Begin(kKey, kPrint, kNow).index(), Allowed);
  if (c.mEnd) {
    keys.Finish(kKey, *c.mEnd, AnswerOf(c.mAnswerBytes), kNow);
  }
  EXPECT_EQ(keys.Begin(kKey, c.mPrint, kNow + c.mLater).index(), c.mExpected);
}

INSTANTIATE_TEST_SUITE_P(
  All,
  SecondAttempt,
  testing::Values(
    SecondCase{ "running", {}, 0, kPrint, minutes(1), Duplicate },
    SecondCase{ "runningForLong", {}, 0, kPrint, minutes(60), Duplicate },
    SecondCase{ "ran", Verdict::Ran, 100, kPrint, minutes(1), Replay },
    SecondCase{ "long", Verdict::Ran, 16'385, kPrint, minutes(1), Duplicate },
    SecondCase{ "notRun", Verdict::NotRun, 0, kPrint, minutes(1), Allowed },
    SecondCase{ "other", Verdict::Ran, 100, kPrint + 1, minutes(1), Mismatch },
    SecondCase{ "old", Verdict::Ran, 100, kPrint, minutes(10), Allowed }),
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

TEST_P(RevokeKey, PromisesOnlyWhereNothingRan)
{
  IdempotencyRegister keys({});
  if (GetParam().mBegun) {
    keys.Begin(kKey, kPrint, kNow);
  }
  if (GetParam().mEnd) {
    keys.Finish(kKey, *GetParam().mEnd, AnswerOf(1), kNow);
  }
  const KeyRevocation first = keys.Revoke(kKey, kNow);
  EXPECT_EQ(first.mVerdict, GetParam().mExpected);
  EXPECT_FALSE(first.mPromisedBefore);
  const bool promised = GetParam().mExpected == Verdict::NotRun;
  EXPECT_EQ(keys.Revoke(kKey, kNow).mPromisedBefore, promised);
  EXPECT_EQ(keys.Begin(kKey, kPrint, kNow).index() == Promised, promised);
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
    keys.Begin({ CustomerId("q"), name }, kPrint, kNow);
    keys.Finish({ CustomerId("q"), name }, Verdict::Ran, AnswerOf(400), kNow);
  }
  const auto again = [&keys](const char* aName) {
    return keys.Begin({ CustomerId("q"), aName }, kPrint, kNow).index();
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
    keys.Begin(key, kPrint, kNow);
    keys.Finish(key, Verdict::Ran, AnswerOf(10), kNow);
  }
  EXPECT_LE(keys.Size(), 11U);
}

} // namespace
} // namespace foxtailbarrow
