#include <gtest/gtest.h>

#include "tests/ownership/TaskFleet.h"

namespace foxtailbarrow::test {
namespace {

constexpr unsigned kOtherSide = 2;

/// A network partition that puts the owner of shard 0 and the agent that runs
/// its task on the side without the store.
class Split
{
public:
  Split(const OwnershipSettings& aSettings, std::size_t aEntries, int aSeed)
    : mFleet(aSettings, aEntries, 2, aSeed)
  {
    mFleet.RunFor(40s);
    mAgent = mFleet.RunsAt(0).value();
    for (std::size_t entry = 0; entry < aEntries; ++entry) {
      if (mFleet.Owner(entry).Held().contains(0)) {
        mOwner = entry;
      } else {
        mOthers.push_back(entry);
      }
    }
    Move(mOwner, kOtherSide);
    mFleet.AgentNode(mAgent).mSides = kOtherSide;
  }

  /// Entries that are not on the main side alone lose the store.
  void Move(std::size_t aEntry, unsigned aSides)
  {
    mFleet.EntryNode(aEntry).mSides = aSides;
    mFleet.EntryNode(aEntry).mReachesStore = aSides == kMainSide;
  }

  void Restart(std::size_t aEntry)
  {
    mFleet.Kill(aEntry);
    mFleet.Start(aEntry);
  }

  bool OwnerExtends()
  {
    return mFleet.Owner(mOwner).MayExtend(0, mFleet.LocalNow(mOwner));
  }

  TaskFleet mFleet;
  std::size_t mAgent = 0;
  std::size_t mOwner = 0;
  std::vector<std::size_t> mOthers;
};

OwnershipSettings OneShard()
{
  OwnershipSettings settings;
  settings.mShards = 1;
  return settings;
}

TEST(CutOffMinority, StopsBeforeTheSuccessorStarts)
{
  Split split(OneShard(), 3, 1);
  split.mFleet.RunFor(7s);
  EXPECT_FALSE(split.OwnerExtends());
  EXPECT_EQ(split.mFleet.RunsAt(0), split.mAgent);
  split.mFleet.RunFor(20s);
  EXPECT_FALSE(split.mFleet.RunsAt(0).has_value());
  split.mFleet.RunFor(25s);
  EXPECT_TRUE(split.mFleet.RunsAt(0).has_value());
  EXPECT_EQ(split.mFleet.mFirstDoubleRun, "");
}

TEST(CutOffMajority, KeepsTheTaskUntilTheTenureTimesOut)
{
  OwnershipSettings settings = OneShard();
  settings.mMaxExtension = 10min;
  settings.mTenureTimeout = 11min;
  Split split(settings, 3, 1);
  split.Move(split.mOthers[0], kOtherSide);
  split.mFleet.RunFor(9min);
  EXPECT_TRUE(split.OwnerExtends());
  EXPECT_EQ(split.mFleet.Starts(0), 1);
  split.mFleet.RunFor(3min);
  EXPECT_FALSE(split.OwnerExtends());
  EXPECT_EQ(split.mFleet.Starts(0), 2);
  EXPECT_EQ(split.mFleet.mFirstDoubleRun, "");
}

struct RestartCase
{
  const char* mName;
  Duration mSilence;
  Duration mWindow;
  bool mSafe;
};

class RestartedVoter : public testing::TestWithParam<RestartCase>
{
protected:
  static OwnershipSettings Settings()
  {
    OwnershipSettings settings = OneShard();
    settings.mRestartSilence = GetParam().mSilence;
    settings.mPromiseWindow = GetParam().mWindow;
    return settings;
  }
};

using RightAfterItsPromise = RestartedVoter;

TEST_P(RightAfterItsPromise, DoesNotExtendTheOldOwner)
{
  std::string doubleRuns;
  for (int gap = 0; gap < 40; ++gap) {
    Split split(Settings(), 3, gap);
    split.Move(split.mOthers[0], kMainSide | kOtherSide);
    split.mFleet.RunFor(500ms * gap);
    split.Restart(split.mOthers[0]);
    split.mFleet.RunFor(80s);
    doubleRuns += split.mFleet.mFirstDoubleRun;
  }
  EXPECT_EQ(doubleRuns.empty(), GetParam().mSafe) << doubleRuns;
}

INSTANTIATE_TEST_SUITE_P(
  Settings,
  RightAfterItsPromise,
  testing::Values(RestartCase{ "Silent", 10s, 5s, true },
                  RestartCase{ "NoSilence", 0s, 5s, false }));

using LongAfterItsPromise = RestartedVoter;

TEST_P(LongAfterItsPromise, DoesNotCompleteAMajorityOfPromises)
{
  Split split(Settings(), 5, 3);
  const std::vector<std::size_t>& others = split.mOthers;
  split.Move(others[0], kMainSide | kOtherSide);
  split.Move(others[1], kOtherSide);
  split.Move(others[2], kOtherSide);
  split.mFleet.RunFor(20s);
  ASSERT_TRUE(split.OwnerExtends());
  // The first voter has promised. It restarts, loses the promise, and moves to
  // the other side.
  split.Move(others[0], kOtherSide);
  split.Restart(others[0]);
  split.mFleet.RunFor(20s);
  split.Move(others[1], kMainSide | kOtherSide);
  split.mFleet.RunFor(60s);
  EXPECT_EQ(split.mFleet.mFirstDoubleRun.empty(), GetParam().mSafe)
    << split.mFleet.mFirstDoubleRun;
}

INSTANTIATE_TEST_SUITE_P(
  Settings,
  LongAfterItsPromise,
  testing::Values(RestartCase{ "Window", 10s, 5s, true },
                  RestartCase{ "NoWindow", 10s, 1h, false }));

} // namespace
} // namespace foxtailbarrow::test
