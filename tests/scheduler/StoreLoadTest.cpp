#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/fiber/operations.hpp>
#include <gtest/gtest.h>

#include "apps/scheduler/Scheduler.h"
#include "soak/LinkProxy.h"
#include "src/core/cell/records/CellRecords.h"
#include "src/core/message/Codec.h"
#include "standins/kv/KvService.h"
#include "tests/net/PrivateEndpoint.h"

namespace foxtailbarrow::scheduler::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kConfiguration =
  R"({"Version":1,"Routes":[{"Name":"r","Host":"127.0.0.1","Prefix":"/p/",)"
  R"("TimeoutMs":3000,"SloMs":250,"Service":"service",)"
  R"("Attempts":3,"Stretch":1.5}]})";

/// The target size: schedulers, and reads that the store accepts a second.
constexpr double kSchedulers = 1130;
constexpr double kReadsPerSecond = 16'000;
/// What idle schedulers may cost: 15,000 calls of 183 of them in 67 s.
constexpr double kIdleCallsPerSecond = 15'000.0 / 183 / 67;
/// Cost of a serializable read, in calls.
constexpr double kSerializableCost = 0.1;

constexpr Duration kMeasured = seconds(5);

/// What happens to the store before and while the calls are counted.
struct StoreLoadCase
{
  const char* mName;
  std::function<void(standin::KvService&)> mChange;
  bool mConnectionsReset;
  double mMostPerSecond; ///< Calls of one scheduler.
};

/// A scheduler that only follows: another one, which the test plays, owns the
/// cell.
class StoreLoadTest : public testing::TestWithParam<StoreLoadCase>
{
protected:
  void SetUp() override
  {
    auto store = standin::KvService::Start(mTestRuntime, { "127.0.0.1", 0 }, 1);
    ASSERT_TRUE(store.ok());
    mStore = *std::move(store);
    const Endpoint link = net::PrivateEndpoint(mTestRuntime);
    auto proxy = soak::LinkProxy::Start(link, mStore->ListeningEndpoint());
    ASSERT_TRUE(proxy.ok());
    mLink = *std::move(proxy);
    const cell::OwnerRecord owner{ EntryId("owner"), { "127.0.0.1", 1 }, 4, 1 };
    mTestRuntime.RunAndWait([&] {
      mStore->Put("op/config", kConfiguration);
      mStore->Put(std::string(cell::kOwnerKey), ToJsonText(owner));
      mStore->Put(std::string(cell::kCellKey),
                  ToJsonText(cell::CellRecord{ 4, EntryId("owner"), 1 }));
    });
    SchedulerSettings settings;
    settings.mId = EntryId("follower");
    settings.mListen = net::PrivateEndpoint(mTestRuntime);
    settings.mPeers = net::PrivateEndpoint(mTestRuntime);
    settings.mAdvertised = settings.mPeers;
    settings.mStore = link;
    settings.mConfigurationTimeout = seconds(5);
    settings.mDrainTimeout = milliseconds(100);
    mScheduler = std::make_unique<Scheduler>(settings, mRuntime);
    const absl::Status started = mScheduler->Start();
    ASSERT_TRUE(started.ok()) << started;
    Sleep(seconds(1));
  }

  void TearDown() override
  {
    if (mScheduler) {
      mScheduler->Drain();
    }
    mLink.reset();
    mStore.reset();
    mScheduler.reset();
  }

  void Sleep(Duration aDuration)
  {
    mTestRuntime.RunAndWait([&] { boost::this_fiber::sleep_for(aDuration); });
  }

  double Cost()
  {
    double cost = 0;
    mTestRuntime.RunAndWait([&] {
      const auto serializable =
        static_cast<double>(mStore->SerializableReads());
      cost = static_cast<double>(mStore->Calls()) -
             (1 - kSerializableCost) * serializable;
    });
    return cost;
  }

  net::FiberRuntime mTestRuntime{ 1 };
  net::FiberRuntime mRuntime{ 1 };
  std::unique_ptr<standin::KvService> mStore;
  std::unique_ptr<soak::LinkProxy> mLink;
  std::unique_ptr<Scheduler> mScheduler;
};

/// All schedulers of a large deployment but one only follow. What each asks of
/// the store, on a calm day and in a fault that all of them see, is multiplied
/// by their number.
TEST_P(StoreLoadTest, OfAFollowerIsBounded)
{
  mTestRuntime.RunAndWait([&] { GetParam().mChange(*mStore); });
  if (GetParam().mConnectionsReset) {
    mLink->Set(soak::LinkState::Resets);
    Sleep(milliseconds(50));
    mLink->Set(soak::LinkState::Passes);
  }
  const double before = Cost();
  Sleep(kMeasured);
  const double perSecond =
    (Cost() - before) / std::chrono::duration<double>(kMeasured).count();
  RecordProperty("callsPerSecond", std::to_string(perSecond));
  EXPECT_LE(perSecond, GetParam().mMostPerSecond);
}

void Nothing(standin::KvService&) {}

void DropHistory(standin::KvService& aStore)
{
  aStore.Put("other", "1");
  aStore.CompactHistory();
}

void RefuseWatches(standin::KvService& aStore)
{
  standin::KvFaults faults;
  faults.mWatchesGone = true;
  aStore.SetFaults(faults);
}

void Refuse(standin::KvService& aStore)
{
  standin::KvFaults faults;
  faults.mOutage = standin::KvOutage::Refuses;
  aStore.SetFaults(faults);
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  StoreLoadTest,
  testing::Values(
    StoreLoadCase{ "Idle", Nothing, false, kIdleCallsPerSecond },
    // The listings and watches that the reset needs come in addition.
    StoreLoadCase{ "DroppedHistory",
                   DropHistory,
                   true,
                   2 * kIdleCallsPerSecond },
    StoreLoadCase{ "WatchesGone",
                   RefuseWatches,
                   true,
                   kReadsPerSecond / kSchedulers },
    StoreLoadCase{ "Outage", Refuse, true, kReadsPerSecond / kSchedulers }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

} // namespace

} // namespace foxtailbarrow::scheduler::test
