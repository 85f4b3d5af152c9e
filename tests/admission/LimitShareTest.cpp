#include <numeric>
#include <ostream>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "src/core/message/Codec.h"
#include "tests/admission/ShareModel.h"

namespace foxtailbarrow {
namespace {

using std::chrono::seconds;

const std::vector<std::int64_t> kLimits = { 0, 1, 2, 3, 5, 7, 10, 97, 1000 };
constexpr int kSteps = 1500;

RC_GTEST_PROP(LimitShare, SumNeverExceedsTheLimit, (std::uint64_t aSeed))
{
  ShareModel model({}, aSeed);
  RC_ASSERT(model.RunWithin(kLimits, kSteps));
}

/// A setting that violates the invariant; the model must detect it.
struct Mutation
{
  const char* mName;
  void (*mApply)(ModelSettings&);

  friend std::ostream& operator<<(std::ostream& aOut, const Mutation& aCase)
  {
    return aOut << aCase.mName;
  }
};

class LimitShareMutations : public testing::TestWithParam<Mutation>
{};

TEST_P(LimitShareMutations, AreDetected)
{
  ModelSettings settings;
  GetParam().mApply(settings);
  bool isDetected = false;
  for (std::uint64_t seed = 1; seed <= 300 && !isDetected; ++seed) {
    isDetected = !ShareModel(settings, seed).RunWithin(kLimits, kSteps);
  }
  EXPECT_TRUE(isDetected);
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  LimitShareMutations,
  testing::Values(
    Mutation{
      "no join wait",
      [](ModelSettings& s) { s.mShares.mMargin = -s.mShares.mValidity; } },
    Mutation{ "validity beyond the store lease",
              [](ModelSettings& s) { s.mStoreLease = seconds(1); } },
    Mutation{ "slot taken while its owner may use it", [](ModelSettings& s) {
               s.mShares.mReclaimDelay = seconds(5);
             } }));

TEST(LimitShare, CanBeUsedCompletely)
{
  std::int64_t maxUse = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    ShareModel model({}, seed);
    model.RunWithin({ 1000 }, kSteps);
    maxUse = std::max(maxUse, model.MaxUse());
  }
  EXPECT_EQ(maxUse, 1000);
}

RC_GTEST_PROP(SplitEvenly, SumsToTheAmountAndNeverGrowsWithPartsOrIndex, ())
{
  const auto amount = *rc::gen::inRange<std::int64_t>(0, 10'000);
  const auto parts = *rc::gen::inRange<std::int32_t>(1, 50);
  const auto index = *rc::gen::inRange<std::int32_t>(0, parts);
  std::int64_t sum = 0;
  for (std::int32_t i = 0; i < parts; ++i) {
    sum += SplitEvenly(amount, parts, i);
  }
  RC_ASSERT(sum == amount);
  const auto more = *rc::gen::inRange<std::int32_t>(0, 50);
  const auto laterIndex = *rc::gen::inRange<std::int32_t>(0, more + 1);
  RC_ASSERT(SplitEvenly(amount, parts + more, index + laterIndex) <=
            SplitEvenly(amount, parts, index));
}

/// A single entry with scripted readings of the store.
class SingleAllocator : public testing::Test
{
protected:
  SingleAllocator()
    : mAllocator({}, mSelf)
  {
    mAllocator.OnJoined(At(0));
  }

  static Instant At(int aSecond) { return Instant(seconds(100'000 + aSecond)); }

  void Renew(int aSecond)
  {
    mAllocator.OnRoster(At(aSecond), mLive);
    mAllocator.OnSlots(At(aSecond), At(aSecond), mSlots, mLive);
  }

  bool ClaimAt(int aSecond)
  {
    const Instant at = At(aSecond);
    return mAllocator.OnSlots(at, at, mSlots, mLive).has_value();
  }

  std::int64_t Share(int aSecond) const
  {
    return UsableShare(90, mAllocator.Allocation(), At(aSecond));
  }

  const ShareOwner mSelf{ EntryId("a"), 7 };
  const std::vector<EntryId> mLive{ EntryId("a") };
  std::vector<ShareSlot> mSlots{ { ShareOwner{ EntryId("z"), 1 }, 3 },
                                 { mSelf, 4 },
                                 {} };
  ShareAllocator mAllocator;
};

TEST_F(SingleAllocator, FallsBackToTheStandingPartInAnOutage)
{
  Renew(3);
  EXPECT_EQ(Share(3), 15); // older rosters may still be in use
  Renew(5);
  EXPECT_EQ(Share(5), 60);
  EXPECT_EQ(Share(7), 60);
  EXPECT_EQ(Share(8), 15); // no renewal since second 5
  EXPECT_EQ(Share(3600), 15);
  EXPECT_EQ(Share(5 + 110 * 60), 0);
}

TEST_F(SingleAllocator, ClaimsItsFormerSlotBeforeAFreeOne)
{
  mSlots[1] = {};
  mSlots[2] = { ShareOwner{ EntryId("a"), 6 }, 9 };
  const auto claim = mAllocator.OnSlots(At(1), At(1), mSlots, mLive);
  ASSERT_TRUE(claim.has_value());
  EXPECT_EQ(claim->mSlot, 2);
  EXPECT_EQ(claim->mModRevision, 9);
}

TEST_F(SingleAllocator, ClaimsAnAbsentEntrysSlotOnlyAfterTheReclaimDelay)
{
  mSlots[1].mOwner = ShareOwner{ EntryId("y"), 1 };
  mSlots[2].mOwner = ShareOwner{ EntryId("x"), 1 };
  for (int second = 0; second < 7200; second += 2) {
    ASSERT_FALSE(ClaimAt(second));
  }
  EXPECT_TRUE(ClaimAt(7200));
}

TEST_F(SingleAllocator, RestartsTheReclaimDelayAfterAGapBetweenReadings)
{
  mSlots[1].mOwner = ShareOwner{ EntryId("y"), 1 };
  mSlots[2].mOwner = ShareOwner{ EntryId("x"), 1 };
  EXPECT_FALSE(ClaimAt(0));
  EXPECT_FALSE(ClaimAt(7200));
}

TEST(ShareOwner, RoundTripsThroughJson)
{
  const ShareOwner owner{ EntryId("entry-1"), 1'700'000'000'000'000 };
  EXPECT_EQ(*FromJsonText<ShareOwner>(ToJsonText(owner)), owner);
}

} // namespace
} // namespace foxtailbarrow
