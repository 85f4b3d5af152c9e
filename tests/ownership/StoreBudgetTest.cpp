#include <gtest/gtest.h>

#include "tests/ownership/Fleet.h"

namespace foxtailbarrow::test {
namespace {

/// The target size of a fleet, with entries in 13 failure domains.
constexpr std::size_t kEntries = 64;
constexpr std::size_t kDomain = 5;

struct Load
{
  double mMean = 0; ///< Calls per second.
  std::uint64_t mPeak = 0;
  std::uint64_t mCalls = 0;
  std::uint64_t mMessages = 0;
};

Load Measure(Fleet& aFleet, int aSeconds)
{
  Load load;
  const std::uint64_t messages = aFleet.mMessages;
  for (int second = 0; second < aSeconds; ++second) {
    const std::uint64_t before = aFleet.mStore.Calls();
    aFleet.RunFor(1s);
    const std::uint64_t calls = aFleet.mStore.Calls() - before;
    load.mPeak = std::max(load.mPeak, calls);
    load.mCalls += calls;
  }
  load.mMean = static_cast<double>(load.mCalls) / aSeconds;
  load.mMessages = aFleet.mMessages - messages;
  return load;
}

struct BudgetCase
{
  const char* mName;
  std::function<void(Fleet&)> mEvent;
  int mSeconds;
  double mMaxMean; ///< Calls per second, of the store's 2,000 reads per second.
};

class StoreBudget : public testing::TestWithParam<BudgetCase>
{};

TEST_P(StoreBudget, HoldsForAFleetOfTheTargetSize)
{
  OwnershipSettings settings;
  Fleet fleet(settings, kEntries, 1);
  fleet.RunFor(2min);
  GetParam().mEvent(fleet);
  const Load load = Measure(fleet, GetParam().mSeconds);
  std::printf("%s: %.1f calls/s, peak %lu, %lu calls, %lu messages in %d s\n",
              GetParam().mName,
              load.mMean,
              static_cast<unsigned long>(load.mPeak),
              static_cast<unsigned long>(load.mCalls),
              static_cast<unsigned long>(load.mMessages),
              GetParam().mSeconds);
  EXPECT_LE(load.mMean, GetParam().mMaxMean);
  for (ShardId shard = 0; shard < settings.mShards; ++shard) {
    EXPECT_LE(fleet.Holders(shard), 1);
  }
}

void RestartAll(Fleet& aFleet)
{
  for (std::size_t entry = 0; entry < kEntries; ++entry) {
    aFleet.Kill(entry);
    aFleet.Start(entry);
  }
}

void LoseDomain(Fleet& aFleet)
{
  for (std::size_t entry = 0; entry < kDomain; ++entry) {
    aFleet.Kill(entry * 13);
  }
}

void LoseStore(Fleet& aFleet)
{
  aFleet.mNetwork.mStoreDown = true;
}

INSTANTIATE_TEST_SUITE_P(
  Events,
  StoreBudget,
  testing::Values(BudgetCase{ "Steady", [](Fleet&) {}, 60, 140 },
                  BudgetCase{ "RestartOfAll", RestartAll, 15, 250 },
                  BudgetCase{ "LossOfADomain", LoseDomain, 60, 150 },
                  BudgetCase{ "Outage", LoseStore, 60, 0 }),
  [](const testing::TestParamInfo<BudgetCase>& aInfo) {
    return std::string(aInfo.param.mName);
  });

} // namespace
} // namespace foxtailbarrow::test
