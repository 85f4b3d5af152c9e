#include <gtest/gtest.h>

#include "tests/ownership/TaskFleet.h"

namespace foxtailbarrow::test {
namespace {

OwnershipSettings Settings()
{
  OwnershipSettings settings;
  settings.mShards = 4;
  return settings;
}

std::vector<Epoch> AllStarts(const TaskFleet& aFleet)
{
  std::vector<Epoch> starts;
  for (ShardId shard = 0; shard < aFleet.mSettings.mShards; ++shard) {
    starts.push_back(aFleet.Starts(shard));
  }
  return starts;
}

struct OutageCase
{
  std::size_t mEntries;
  std::size_t mDead; ///< Entries that are killed during the outage.
  bool mRunsOn;      ///< True when a majority of the entries is left.
};

class HourWithoutStore : public testing::TestWithParam<OutageCase>
{};

TEST_P(HourWithoutStore, RunningTasksContinueWhileAMajorityOfEntriesIsLive)
{
  TaskFleet fleet(Settings(), GetParam().mEntries, 3, 7);
  fleet.RunFor(30s);
  const std::vector<Epoch> before = AllStarts(fleet);
  fleet.mNetwork.mStoreDown = true;
  fleet.RunFor(60s);
  for (std::size_t entry = 0; entry < GetParam().mDead; ++entry) {
    fleet.Kill(entry);
  }
  const std::size_t survivor = GetParam().mEntries - 1;
  ASSERT_FALSE(fleet.Owner(survivor).Held().empty());
  const ShardId shard = fleet.Owner(survivor).Held().begin()->first;
  fleet.RunFor(60min);
  EXPECT_EQ(fleet.RunsAt(shard).has_value(), GetParam().mRunsOn);
  EXPECT_EQ(fleet.Owner(survivor).MayExtend(shard, fleet.LocalNow(survivor)),
            GetParam().mRunsOn);

  fleet.mNetwork.mStoreDown = false;
  fleet.RunFor(20s);
  EXPECT_EQ(fleet.mFirstDoubleRun, "");
  if (GetParam().mRunsOn) {
    EXPECT_EQ(fleet.Starts(shard), before[shard]);
  }
  fleet.RunFor(60s);
  for (ShardId every = 0; every < 4; ++every) {
    EXPECT_TRUE(fleet.RunsAt(every).has_value()) << every;
  }
}

INSTANTIATE_TEST_SUITE_P(Entries,
                         HourWithoutStore,
                         testing::Values(OutageCase{ 3, 0, true },
                                         OutageCase{ 3, 1, true },
                                         OutageCase{ 5, 2, true },
                                         OutageCase{ 3, 2, false },
                                         OutageCase{ 5, 3, false }));

} // namespace
} // namespace foxtailbarrow::test
