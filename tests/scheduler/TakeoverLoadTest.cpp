#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <boost/fiber/operations.hpp>
#include <gtest/gtest.h>

#include "apps/scheduler/Election.h"
#include "src/core/cell/records/CellRecords.h"
#include "src/core/message/Codec.h"
#include "src/net/HttpClient.h"
#include "src/platform/store/CountingStore.h"
#include "src/platform/store/MemoryStore.h"
#include "tests/scheduler/PlainOwner.h"

namespace foxtailbarrow::scheduler::test {

namespace {

using std::chrono::milliseconds;

/// A third of the 60 calls that a takeover may cost: three a candidate.
constexpr std::uint64_t kMostCandidates = 20;
constexpr Duration kElected = milliseconds(1200);

struct TakeoverCase
{
  const char* mName;
  int mSchedulers;
  double mProcessorShare;
};

/// Schedulers that follow an owner whose key goes.
class TakeoverLoadTest : public testing::TestWithParam<TakeoverCase>
{
protected:
  static constexpr Duration kCallTime = milliseconds(4);

  void SetUp() override
  {
    StoreFaults faults;
    faults.mDelay = kCallTime;
    mMemory.SetFaults(faults);
    for (int i = 0; i < GetParam().mSchedulers; ++i) {
      SchedulerSettings& settings =
        *mSettings.emplace_back(std::make_unique<SchedulerSettings>());
      settings.mId = EntryId("scheduler" + std::to_string(i));
      settings.mAdvertised = { "10.0.0.1",
                               static_cast<std::uint16_t>(7000 + i) };
      settings.mProcessorShare = GetParam().mProcessorShare;
      mElections.push_back(std::make_unique<Election>(
        settings, cell::CellSettings{}, mStore, [this](const auto& aTerm) {
          return MakePlainOwner(mRuntime, mStore, mRpc, aTerm);
        }));
    }
  }

  void TearDown() override
  {
    mRuntime.RunAndWait([this] {
      mStopping = true;
      for (const auto& election : mElections) {
        election->Resign();
      }
      mMemory.Close();
      while (mFollowing > 0) {
        boost::this_fiber::sleep_for(milliseconds(5));
      }
      boost::this_fiber::sleep_for(std::chrono::seconds(1));
    });
  }

  void Follow()
  {
    for (const auto& election : mElections) {
      ++mFollowing;
      mRuntime.Spawn([this, &follower = *election] {
        while (!mStopping) {
          boost::this_fiber::sleep_for(
            std::min<Duration>(follower.Round(), milliseconds(450)));
        }
        --mFollowing;
      });
    }
  }

  int Owners() const
  {
    return static_cast<int>(
      std::ranges::count_if(mElections, [](const auto& aElection) {
        return aElection->Owner() != nullptr;
      }));
  }

  net::FiberRuntime mRuntime{ 1 };
  MemoryStore mMemory;
  CountingStore mStore{ mMemory };
  net::HttpClient mClient{ mRuntime };
  net::RpcClient mRpc{ mClient };
  std::vector<std::unique_ptr<SchedulerSettings>> mSettings;
  std::vector<std::unique_ptr<Election>> mElections;
  int mFollowing = 0;
  bool mStopping = false;
};

/// Each of the schedulers took a lease and proposed itself, two writes, when
/// the owner's key went: more writes than the store accepts in a second at the
/// target size.
TEST_P(TakeoverLoadTest, DoesNotGrowWithTheSchedulers)
{
  mRuntime.RunAndWait([this] {
    const cell::OwnerRecord owner{ EntryId("owner"), { "10.0.0.2", 1 }, 4, 1 };
    const std::string key(cell::kOwnerKey);
    ASSERT_TRUE(mMemory.Commit({ {}, { { key, ToJsonText(owner) } } }).ok());
    Follow();
    boost::this_fiber::sleep_for(milliseconds(200));
    EXPECT_EQ(mStore.Counts().Count(StoreCall::GrantLease), 0U);
    ASSERT_TRUE(mMemory.Commit({ {}, { { key, std::nullopt } } }).ok());
    boost::this_fiber::sleep_for(kElected);
    EXPECT_EQ(Owners(), 1);
    RecordProperty(
      "candidates",
      std::to_string(mStore.Counts().Count(StoreCall::GrantLease)));
    EXPECT_LE(mStore.Counts().Count(StoreCall::GrantLease), kMostCandidates);
  });
}

INSTANTIATE_TEST_SUITE_P(Table,
                         TakeoverLoadTest,
                         testing::Values(TakeoverCase{ "Three", 3, 1.0 },
                                         TakeoverCase{ "Fifty", 50, 1.0 },
                                         TakeoverCase{ "Hundred", 100, 1.0 },
                                         TakeoverCase{ "WeakOnes", 50, 0.12 }),
                         [](const auto& aInfo) {
                           return std::string(aInfo.param.mName);
                         });

} // namespace

} // namespace foxtailbarrow::scheduler::test
