#include <vector>

#include <boost/fiber/operations.hpp>
#include <gtest/gtest.h>

#include "apps/scheduler/Scheduler.h"
#include "soak/LinkProxy.h"
#include "src/net/HttpClient.h"
#include "standins/kv/KvService.h"
#include "tests/net/FreeEndpoint.h"
#include "tests/scheduler/ReportingAgent.h"

namespace foxtailbarrow::scheduler::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kAgents = 300;
constexpr Duration kReportInterval = milliseconds(450);
/// Until the owner has attached all agents.
constexpr Duration kPatience = seconds(30);

std::string Configuration(int aVersion, const std::string& aPrefix)
{
  return R"({"Version":)" + std::to_string(aVersion) +
         R"(,"Routes":[{"Name":"r","Host":"127.0.0.1","Prefix":")" + aPrefix +
         R"(","TimeoutMs":3000,"SloMs":250,"Service":"service",)"
         R"("Attempts":3,"Stretch":1.5}]})";
}

/// The process that owns a cell of 300 agents, each reporting 22 tasks, with a
/// store of the platform behind a link.
class BusyOwnerTest : public testing::Test
{
protected:
  void SetUp() override
  {
    auto store = standin::KvService::Start(mWorld, { "127.0.0.1", 0 }, 1);
    ASSERT_TRUE(store.ok());
    mStore = *std::move(store);
    const Endpoint link = net::FreeEndpoint(mWorld);
    auto proxy = soak::LinkProxy::Start(link, mStore->ListeningEndpoint());
    ASSERT_TRUE(proxy.ok());
    mLink = *std::move(proxy);
    Configure(1, "/first/");
    mSettings.mId = EntryId("scheduler");
    mSettings.mListen = net::FreeEndpoint(mWorld);
    mSettings.mPeers = net::FreeEndpoint(mWorld);
    mSettings.mAdvertised = mSettings.mPeers;
    mSettings.mStore = link;
    mSettings.mDrainTimeout = milliseconds(100);
    mScheduler = std::make_unique<Scheduler>(mSettings, mRuntime);
    const absl::Status started = mScheduler->Start();
    ASSERT_TRUE(started.ok()) << started;
    StartAgents();
  }

  void TearDown() override
  {
    mStopping = true;
    mWorld.RunAndWait([this] {
      while (mReporting > 0) {
        boost::this_fiber::sleep_for(milliseconds(1));
      }
    });
    // Ends the term; the loss of the store ends its watches.
    mScheduler->Drain();
    mLink.reset();
    mStore.reset();
    mScheduler.reset();
    mAgents.clear();
  }

  void StartAgents()
  {
    for (int i = 0; i < kAgents; ++i) {
      mAgents.push_back(
        std::make_unique<ReportingAgent>(mWorld, mRpc, i, mSettings.mPeers));
    }
    mReporting = kAgents;
    for (int i = 0; i < kAgents; ++i) {
      mWorld.Spawn([this, i] {
        // Spread over the interval, as agents that started apart are.
        boost::this_fiber::sleep_for(kReportInterval * i / kAgents);
        while (!mStopping) {
          mAgents[i]->Report();
          boost::this_fiber::sleep_for(kReportInterval);
        }
        --mReporting;
      });
    }
  }

  /// True when every agent has had several reports taken.
  bool AllReport()
  {
    constexpr std::uint64_t kSeveral = 4;
    return std::ranges::all_of(mAgents, [](const auto& aAgent) {
      return aAgent->AcceptedReports() >= kSeveral;
    });
  }

  template<typename Condition>
  bool Await(Condition aCondition, Duration aLongest)
  {
    bool met = false;
    mWorld.RunAndWait([&] {
      const Instant end = MonotonicNow() + aLongest;
      while (!(met = aCondition()) && MonotonicNow() < end) {
        boost::this_fiber::sleep_for(milliseconds(10));
      }
    });
    return met;
  }

  void Configure(int aVersion, const std::string& aPrefix)
  {
    mWorld.RunAndWait(
      [&] { mStore->Put("op/config", Configuration(aVersion, aPrefix)); });
  }

  /// True when the scheduler answers by a configuration with this route.
  bool Serves(const std::string& aPrefix)
  {
    net::HttpRequest request;
    request.mMethod = "GET";
    request.mTarget = aPrefix;
    const auto response = mClient.Call(mSettings.mListen, request, seconds(1));
    return response.ok() && response->mStatus == 200;
  }

  net::FiberRuntime mWorld{ 1 }; ///< Of the store and the agents.
  net::FiberRuntime mRuntime{ 1 };
  net::HttpClient mClient{ mWorld };
  net::RpcClient mRpc{ mClient };
  std::unique_ptr<standin::KvService> mStore;
  std::unique_ptr<soak::LinkProxy> mLink;
  SchedulerSettings mSettings;
  std::unique_ptr<Scheduler> mScheduler;
  std::vector<std::unique_ptr<ReportingAgent>> mAgents;
  std::atomic<int> mReporting = 0;
  std::atomic<bool> mStopping = false;
};

/// An owner that had fallen behind answered by the configuration before for
/// five seconds after a change.
TEST_F(BusyOwnerTest, AChangeOfTheConfigurationIsInForceWithinASecond)
{
  ASSERT_TRUE(Await([this] { return AllReport(); }, kPatience));
  EXPECT_TRUE(Await([this] { return Serves("/first/"); }, seconds(1)));
  Configure(4, "/second/");
  EXPECT_TRUE(Await([this] { return Serves("/second/"); }, seconds(1)));
}

/// No reset tells that the connection of the watch is dead. The platform gives
/// a change two seconds on the smallest deployments.
TEST_F(BusyOwnerTest, AWatchThatGoesSilentDelaysAChangeByTwoSecondsAtMost)
{
  ASSERT_TRUE(Await([this] { return AllReport(); }, kPatience));
  mLink->Set(soak::LinkState::OpenSilent);
  Configure(4, "/second/");
  EXPECT_TRUE(Await([this] { return Serves("/second/"); }, seconds(2)));
}

} // namespace

} // namespace foxtailbarrow::scheduler::test
