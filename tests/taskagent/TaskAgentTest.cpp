#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include <boost/fiber/operations.hpp>
#include <gtest/gtest.h>

#include "apps/taskagent/TaskAgent.h"
#include "src/net/TypedRpc.h"
#include "standins/taskworker/TaskWorkerService.h"
#include "tests/net/PrivateEndpoint.h"

namespace foxtailbarrow::taskagent::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr cell::Session kSession = 1 << 8;
/// Timeout for heartbeats, which are sent every 0.5 s, on a busy machine.
constexpr Duration kTimeout = seconds(10);

/// A task agent, its worker, and the owner simulated by the test, connected by
/// TCP.
class TaskAgentTest : public testing::Test
{
protected:
  void SetUp() override
  {
    net::AddTyped<cell::ReportRequest>(
      mDispatcher, cell::kReportMethod, [](const cell::ReportRequest& aReport) {
        cell::ReportReply reply;
        reply.mOwner = true;
        reply.mAttached = aReport.mSession == kSession;
        reply.mGeneration = 1;
        reply.mGrant = seconds(3);
        return reply;
      });
    auto owner = net::HttpServer::Start(
      mTestRuntime, { "127.0.0.1", 0 }, [this](net::HttpRequest& aRequest) {
        return mDispatcher.Handle(aRequest);
      });
    ASSERT_TRUE(owner.ok());
    mOwner = *std::move(owner);
    mSettings.mId = AgentId("agent");
    mSettings.mListen = net::PrivateEndpoint(mTestRuntime);
    mSettings.mAdvertised = mSettings.mListen;
    mSettings.mControl = net::PrivateEndpoint(mTestRuntime);
    mSettings.mWorker = net::PrivateEndpoint(mTestRuntime);
    mSettings.mStore =
      net::PrivateEndpoint(mTestRuntime); // Nothing listens there.
    mAgent = std::make_unique<TaskAgent>(mSettings, mRuntime);
    const absl::Status started = mAgent->Start();
    ASSERT_TRUE(started.ok()) << started;
    auto worker = standin::TaskWorkerService::Start(
      mTestRuntime,
      { mSettings.mWorker, mSettings.mControl, "worker", "service", "rack" },
      {},
      1,
      [this](const std::string&, const standin::RunEvent& aEvent) {
        mStarts += aEvent.mKind == standin::RunEventKind::Started ? 1 : 0;
      });
    ASSERT_TRUE(worker.ok());
    mWorker = *std::move(worker);
    mWorker->SetHeartbeatSink([this](const standin::HeartbeatEvent& aEvent) {
      mAnswered += aEvent.mAnswered ? 1 : 0;
    });
  }

  void TearDown() override
  {
    // Not destroyed: the worker's fibers run as long as their runtime.
    mAgent.reset();
    mOwner.reset();
    static_cast<void>(mWorker.release());
  }

  /// Attaches the agent and returns its reply, or an error on a timeout.
  absl::StatusOr<cell::AttachReply> Attach()
  {
    const Instant end = MonotonicNow() + kTimeout;
    for (;;) {
      auto reply = net::CallTyped<cell::AttachReply>(
        mRpc,
        mSettings.mListen,
        cell::kAttachMethod,
        cell::AttachRequest{ 1, kSession, mOwner->ListeningEndpoint() },
        seconds(2));
      if ((reply.ok() && reply->mAttached) || MonotonicNow() > end) {
        return reply;
      }
      boost::this_fiber::sleep_for(milliseconds(20));
    }
  }

  /// Waits for two heartbeats, the second of which was sent after the call.
  void AwaitBeats()
  {
    const int wanted = mAnswered + 2;
    const Instant end = MonotonicNow() + kTimeout;
    while (mAnswered < wanted && MonotonicNow() < end) {
      boost::this_fiber::sleep_for(milliseconds(5));
    }
  }

  /// Orders starts of 1000 millicores each and returns their outcomes.
  std::vector<cell::StartOutcome> Order(int aStarts)
  {
    cell::OrderRequest orders;
    orders.mSession = kSession;
    orders.mNumber = ++mNumber;
    orders.mIncarnation = cell::WorkerIncarnation(mWorker->Incarnation());
    for (int i = 0; i < aStarts; ++i) {
      cell::StartOrder& start = orders.mStarts.emplace_back();
      start.mTask = { JobId("job"), 0, 0, mTasks++ };
      start.mRun = 1;
      start.mPayload = "work=60000";
      start.mReserved = { 1000, 1000, 0 };
    }
    const auto reply = net::CallTyped<cell::OrderReply>(
      mRpc, mSettings.mListen, cell::kOrderMethod, orders, seconds(3));
    EXPECT_TRUE(reply.ok() && reply->mAccepted) << reply.status();
    std::vector<cell::StartOutcome> outcomes;
    for (const cell::StartResult& result :
         reply.ok() ? reply->mStarts : std::vector<cell::StartResult>()) {
      outcomes.push_back(result.mOutcome);
    }
    std::ranges::sort(outcomes);
    return outcomes;
  }

  net::FiberRuntime mTestRuntime{ 1 };
  net::FiberRuntime mRuntime{ 1 };
  net::HttpClient mClient{ mTestRuntime };
  net::RpcClient mRpc{ mClient };
  net::RpcDispatcher mDispatcher;
  TaskAgentSettings mSettings;
  std::unique_ptr<net::HttpServer> mOwner;
  std::unique_ptr<TaskAgent> mAgent;
  std::unique_ptr<standin::TaskWorkerService> mWorker;
  int mStarts = 0;
  int mAnswered = 0;
  int mTasks = 0;
  std::int64_t mNumber = 0;
};

TEST_F(TaskAgentTest, AWorkerThatShrankIsNotLoadedBeyondItsCapacity)
{
  using enum cell::StartOutcome;
  mTestRuntime.RunAndWait([this] {
    ASSERT_TRUE(Attach().ok());
    AwaitBeats();
    EXPECT_EQ(Order(3), std::vector({ Started, Started, Started }));
    mWorker->Resize({ 4000, 64'000, 0 });
    AwaitBeats();
    EXPECT_EQ(Order(3), std::vector({ Started, OverCapacity, OverCapacity }));
    EXPECT_EQ(mStarts, 4);
    mWorker->Resize({ 6000, 64'000, 0 });
    AwaitBeats();
    EXPECT_EQ(Order(3), std::vector({ Started, Started, OverCapacity }));
  });
}

/// A network cut delayed a heartbeat until its worker had crashed and restarted
/// as another incarnation.
TEST_F(TaskAgentTest, ALateHeartbeatOfACrashedIncarnationChangesNothing)
{
  mTestRuntime.RunAndWait([this] {
    AwaitBeats();
    const std::string dead = mWorker->Incarnation();
    mWorker->Crash();
    mWorker->Restart();
    AwaitBeats();
    net::HttpRequest late;
    late.mMethod = "PUT";
    late.mTarget = "/runners/" + dead;
    late.mBody = R"({"Service":"service","Addr":")" +
                 ToString(mSettings.mWorker) +
                 R"(","Zone":"zone","State":"ready","DrainLeftMs":0,)"
                 R"("CallSeq":900,"Capacity":{"Cpu":1,"MemMb":1},)"
                 R"("Labels":[]})";
    EXPECT_TRUE(mClient.Call(mSettings.mControl, late, seconds(2)).ok());
    const auto attached = Attach();
    ASSERT_TRUE(attached.ok()) << attached.status();
    EXPECT_EQ(attached->mState.mInfo.mIncarnation.Value(),
              mWorker->Incarnation());
    EXPECT_EQ(attached->mState.mInfo.mCapacity.mMillicores, 16'000);
  });
}

} // namespace

} // namespace foxtailbarrow::taskagent::test
