#include <gtest/gtest.h>

#include "tests/ownership/Fleet.h"

namespace foxtailbarrow::test {
namespace {

struct FleetCase
{
  std::size_t mEntries;
  std::uint32_t mShards;
};

class ShardSpread : public testing::TestWithParam<FleetCase>
{
protected:
  OwnershipSettings Settings() const
  {
    OwnershipSettings settings;
    settings.mShards = GetParam().mShards;
    return settings;
  }

  static std::size_t Held(Fleet& aFleet, std::size_t aEntry)
  {
    return aFleet.Owner(aEntry).Held().size();
  }

  static void ExpectEachHeldOnce(Fleet& aFleet)
  {
    for (ShardId shard = 0; shard < aFleet.mSettings.mShards; ++shard) {
      EXPECT_EQ(aFleet.Holders(shard), 1) << shard;
    }
  }
};

TEST_P(ShardSpread, CoversEveryShardOnceAfterTheStart)
{
  Fleet fleet(Settings(), GetParam().mEntries, 1);
  fleet.RunFor(8s);
  ExpectEachHeldOnce(fleet);
}

TEST_P(ShardSpread, IsTakenOverWithinSevenSecondsOfADeath)
{
  Fleet fleet(Settings(), GetParam().mEntries, 2);
  fleet.RunFor(20s);
  fleet.Kill(0);
  fleet.RunFor(7s);
  ExpectEachHeldOnce(fleet);
}

TEST_P(ShardSpread, IsEvenAfterAnEntryJoined)
{
  Fleet fleet(Settings(), GetParam().mEntries, 3);
  fleet.Kill(0);
  fleet.RunFor(20s);
  fleet.Start(0);
  fleet.RunFor(60s);
  ExpectEachHeldOnce(fleet);
  const std::size_t most = GetParam().mShards * 5 / 4 / GetParam().mEntries + 1;
  for (std::size_t entry = 0; entry < fleet.Size(); ++entry) {
    EXPECT_LE(Held(fleet, entry), most);
  }
  EXPECT_GT(Held(fleet, 0), 0);
}

TEST_P(ShardSpread, IsHandedOverOnDrain)
{
  Fleet fleet(Settings(), GetParam().mEntries, 4);
  fleet.RunFor(20s);
  fleet.DrainEntry(0);
  fleet.RunFor(3s);
  EXPECT_TRUE(fleet.HasDrained(0));
  EXPECT_EQ(Held(fleet, 0), 0);
  fleet.Kill(0);
  fleet.RunFor(3s);
  ExpectEachHeldOnce(fleet);
}

INSTANTIATE_TEST_SUITE_P(Sizes,
                         ShardSpread,
                         testing::Values(FleetCase{ 3, 16 },
                                         FleetCase{ 5, 64 }));

} // namespace
} // namespace foxtailbarrow::test
