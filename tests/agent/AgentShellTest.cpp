#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include <gtest/gtest.h>

#include "apps/agent/Agent.h"
#include "foxtailbarrow/MethodNames.h"
#include "foxtailbarrow/RequestHeaders.h"
#include "src/core/job/ShardOf.h"
#include "src/core/message/Codec.h"
#include "standins/backend/BackendService.h"
#include "standins/worker/WorkerService.h"
#include "tests/agent/FakeEntry.h"

/// Runs the whole agent with both stand-ins and a fake entry in one process,
/// over real sockets.
namespace foxtailbarrow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr ShardId kShards = 4;
constexpr Duration kTimeout = seconds(30);
const JobId kJob("trasowka.j1");

class AgentShell : public testing::Test
{
protected:
  AgentShell()
    : mRuntime(2)
    , mClient(mRuntime)
    , mBackend({ 2, {}, true })
    , mWorker({ { 64'000, 256'000, 0 }, seconds(1) })
    , mEntry(mRuntime, kShards)
  {
    mBackendServer = Serve(
      [this](net::HttpRequest& aRequest) { return mBackend.Handle(aRequest); });
    mWorkerServer = Serve(
      [this](net::HttpRequest& aRequest) { return mWorker.Handle(aRequest); });
    StartAgent();
  }

  std::unique_ptr<net::HttpServer> Serve(net::HttpServer::Handler aHandler)
  {
    return *net::HttpServer::Start(
      mRuntime, { "127.0.0.1", 0 }, std::move(aHandler));
  }

  void StartAgent()
  {
    AgentSettings settings;
    settings.mId = AgentId("a1");
    settings.mBackend = mBackendServer->ListeningEndpoint();
    settings.mWorker = mWorkerServer->ListeningEndpoint();
    settings.mEntries = { mEntry.ListeningEndpoint() };
    settings.mService = ServiceId("mileage");
    settings.mRack = RackId("r1");
    settings.mFailureDomain = FailureDomainId("d1");
    settings.mSlots = { 2, 1 };
    settings.mShards = kShards;
    settings.mHeartbeat = milliseconds(50);
    settings.mViewInterval = milliseconds(50);
    settings.mBackendProbe = milliseconds(50);
    mAgent = *Agent::Start(settings, mRuntime);
    WaitFor([this] {
      const auto newest = mEntry.Newest();
      return newest && newest->mState == ServingState::Serving &&
             newest->mConfiguration > 0;
    });
  }

  static void WaitFor(const std::function<bool()>& aCondition)
  {
    const Instant end = MonotonicNow() + kTimeout;
    while (!aCondition() && MonotonicNow() < end) {
      std::this_thread::sleep_for(milliseconds(2));
    }
    ASSERT_TRUE(aCondition());
  }

  absl::StatusOr<net::HttpResponse> Send(const Endpoint& aTo,
                                         const net::HttpRequest& aRequest)
  {
    absl::StatusOr<net::HttpResponse> response;
    mRuntime.RunAndWait(
      [&] { response = mClient.Call(aTo, aRequest, kTimeout); });
    return response;
  }

  net::HttpResponse SendToAgent(const net::HttpRequest& aRequest)
  {
    return *Send(mAgent->ListeningEndpoint(), aRequest);
  }

  template<typename Reply, typename Message>
  absl::StatusOr<Reply> Call(const char* aMethod, const Message& aMessage)
  {
    absl::StatusOr<Json::Value> result;
    mRuntime.RunAndWait([&] {
      net::RpcClient rpc(mClient);
      result = rpc.Call(
        mAgent->ListeningEndpoint(), aMethod, ToJson(aMessage), kTimeout);
    });
    if (!result.ok()) {
      return result.status();
    }
    return FromJson<Reply>(*result);
  }

  void SetWorkerFaults(const std::string& aJson)
  {
    net::HttpRequest request;
    request.mMethod = "POST";
    request.mTarget = "/standin/faults";
    request.mBody = aJson;
    ASSERT_EQ(Send(mWorkerServer->ListeningEndpoint(), request)->mStatus, 200U);
  }

  std::size_t CountEvents(std::string_view aKind)
  {
    net::HttpRequest request;
    request.mTarget = "/standin/events";
    const auto events =
      ParseJson(Send(mWorkerServer->ListeningEndpoint(), request)->mBody);
    std::size_t count = 0;
    for (const Json::Value& event : *events) {
      count += event["kind"].asString() == aKind ? 1 : 0;
    }
    return count;
  }

  Assign MakeAssign(std::string aArguments) const
  {
    Assign assign;
    assign.mShard = ShardOf(kJob, kShards);
    assign.mGeneration = FakeEntry::kGeneration;
    assign.mIncarnation = mEntry.Newest()->mIncarnation;
    assign.mSequence = mEntry.Newest()->mSequence;
    assign.mTask.mKey = { kJob, 1 };
    assign.mTask.mCustomer = CustomerId("trasowka");
    assign.mTask.mResources = { 1'000, 1'000, 0 };
    assign.mTask.mProgram = "sleep";
    assign.mTask.mArguments = std::move(aArguments);
    assign.mTask.mLease = seconds(20);
    return assign;
  }

  void StartTask(const std::string& aArguments)
  {
    const auto reply = Call<AssignReply>(kAssignMethod, MakeAssign(aArguments));
    ASSERT_TRUE(reply.ok()) << reply.status();
    ASSERT_TRUE(reply->mGranted) << ToString(reply->mReason);
    WaitFor([this] { return CountEvents("started") == 1; });
  }

  void WaitForEnd(TaskState aState, std::string_view aReason)
  {
    WaitFor([this] { return !mEntry.Ends().empty(); });
    EXPECT_EQ(mEntry.Ends()[0].mState, aState);
    EXPECT_EQ(mEntry.Ends()[0].mReason, aReason);
    WaitFor([this] { return mEntry.Newest()->mTasks.empty(); });
    EXPECT_EQ(mEntry.Ends().size(), 1U);
  }

  net::FiberRuntime mRuntime;
  net::HttpClient mClient;
  standin::BackendService mBackend;
  standin::WorkerService mWorker;
  FakeEntry mEntry;
  std::unique_ptr<net::HttpServer> mBackendServer;
  std::unique_ptr<net::HttpServer> mWorkerServer;
  std::unique_ptr<Agent> mAgent;
};

net::HttpRequest MakeRequest(std::string_view aId)
{
  net::HttpRequest request;
  request.mMethod = "POST";
  request.mTarget = "/sync";
  request.mBody = "trip";
  if (!aId.empty()) {
    request.mHeaders.Set(kRequestIdHeader, aId);
  }
  return request;
}

std::string HeaderOf(const net::HttpResponse& aResponse, std::string_view aName)
{
  return std::string(aResponse.mHeaders.Find(aName).value_or(""));
}

struct AnswerCase
{
  const char* mName;
  std::function<void(net::HttpRequest&)> mChange;
  unsigned mStatus;
  std::string mVerdict;
  std::string mReason;
};

class AgentAnswer
  : public AgentShell
  , public testing::WithParamInterface<AnswerCase>
{};

/// Sends a second request after request "r1" with idempotency key "k1" was
/// answered.
TEST_P(AgentAnswer, HasTheRightVerdict)
{
  net::HttpRequest first = MakeRequest("r1");
  first.mHeaders.Set(kIdempotencyKeyHeader, "k1");
  const net::HttpResponse firstAnswer = SendToAgent(first);
  ASSERT_EQ(firstAnswer.mStatus, 200U);
  net::HttpRequest second = MakeRequest("r2");
  GetParam().mChange(second);
  const net::HttpResponse answer = SendToAgent(second);
  EXPECT_EQ(answer.mStatus, GetParam().mStatus);
  EXPECT_EQ(HeaderOf(answer, net::kVerdictHeader), GetParam().mVerdict);
  EXPECT_EQ(HeaderOf(answer, kReasonHeader), GetParam().mReason);
  EXPECT_EQ(HeaderOf(answer, kRequestIdHeader),
            HeaderOf({ 200, second.mHeaders, "" }, kRequestIdHeader));
}

INSTANTIATE_TEST_SUITE_P(
  All,
  AgentAnswer,
  testing::Values(
    AnswerCase{ "other", [](net::HttpRequest&) {}, 200, "ran", "" },
    AnswerCase{ "sameId",
                [](net::HttpRequest& aRequest) {
                  aRequest.mHeaders.Set(kRequestIdHeader, "r1");
                },
                409,
                "may-have-run",
                "duplicate-request" },
    AnswerCase{ "sameKey",
                [](net::HttpRequest& aRequest) {
                  aRequest.mHeaders.Set(kIdempotencyKeyHeader, "k1");
                },
                200,
                "ran",
                "" },
    AnswerCase{ "sameKeyOtherBody",
                [](net::HttpRequest& aRequest) {
                  aRequest.mHeaders.Set(kIdempotencyKeyHeader, "k1");
                  aRequest.mBody = "other";
                },
                422,
                "not-run",
                "none" },
    AnswerCase{ "noId",
                [](net::HttpRequest& aRequest) {
                  aRequest.mHeaders.Erase(kRequestIdHeader);
                },
                400,
                "not-run",
                "none" },
    AnswerCase{ "badDeadline",
                [](net::HttpRequest& aRequest) {
                  aRequest.mHeaders.Set(kDeadlineHeader, "soon");
                  aRequest.mHeaders.Erase(kRequestIdHeader);
                },
                400,
                "not-run",
                "none" },
    AnswerCase{ "noTimeLeft",
                [](net::HttpRequest& aRequest) {
                  aRequest.mHeaders.Set(kDeadlineHeader, "0");
                },
                504,
                "not-run",
                "deadline-too-short" },
    AnswerCase{ "backendTooSlow",
                [](net::HttpRequest& aRequest) {
                  aRequest.mHeaders.Set(kDeadlineHeader, "50");
                  aRequest.mHeaders.Set("Standin-Service-Us", "400000");
                },
                504,
                "may-have-run",
                "deadline-too-short" }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

TEST_F(AgentShell, RefusesARequestThatWasRevokedBeforeItArrived)
{
  // Revoke() returns NotRun only when the register is older than the request by
  // kRevokeTransit.
  const Duration age = milliseconds(1);
  Verdict verdict = Verdict::MayHaveRun;
  WaitFor([&] {
    const auto reply =
      Call<RevokeReply>(kRevokeMethod, Revoke{ RequestId("r9"), age, {}, {} });
    verdict = reply.ok() ? reply->mVerdict : Verdict::MayHaveRun;
    return verdict == Verdict::NotRun;
  });
  const net::HttpResponse answer = SendToAgent(MakeRequest("r9"));
  EXPECT_EQ(answer.mStatus, 409U);
  EXPECT_EQ(HeaderOf(answer, net::kVerdictHeader), "not-run");
}

TEST_F(AgentShell, RunsAnAssignedTaskAndReportsItsEnd)
{
  StartTask(R"({"runMs":50})");
  WaitForEnd(TaskState::Finished, "");
}

TEST_F(AgentShell, StartsATaskOnceWhenRepliesAreLost)
{
  SetWorkerFaults(R"({"loseReplies":3})");
  StartTask(R"({"runMs":50})");
  WaitForEnd(TaskState::Finished, "");
  EXPECT_EQ(CountEvents("started"), 1U);
}

TEST_F(AgentShell, ReportsATaskThatFails)
{
  SetWorkerFaults(R"({"failAll":true})");
  StartTask(R"({"runMs":50})");
  WaitForEnd(TaskState::Failed, "failed");
}

TEST_F(AgentShell, CheckpointsItsTasksAndExitsWhenStopped)
{
  StartTask(R"({"runMs":60000})");
  mAgent->Drain();
  WaitForEnd(TaskState::Checkpointed, "evicted-for-drain");
  EXPECT_FALSE(mEntry.Ends()[0].mCheckpoint.empty());
  EXPECT_EQ(mEntry.Newest()->mState, ServingState::Draining);
  const net::HttpResponse answer = SendToAgent(MakeRequest("r1"));
  EXPECT_EQ(HeaderOf(answer, net::kVerdictHeader), "not-run");
  EXPECT_EQ(HeaderOf(answer, kReasonHeader), "draining");
  EXPECT_NE(HeaderOf(answer, kRetryAfterHeader), "");
  WaitFor([this] { return mAgent->Done(); });
}

TEST_F(AgentShell, AnswersAnEvictionWithItsCheckpoint)
{
  StartTask(R"({"runMs":60000})");
  Control control;
  control.mShard = ShardOf(kJob, kShards);
  control.mGeneration = FakeEntry::kGeneration;
  control.mKey = { kJob, 1 };
  control.mAction = TaskAction::Evict;
  control.mReason = Reason::EvictedForUrgent;
  const auto reply = Call<ControlReply>(kControlMethod, control);
  ASSERT_TRUE(reply.ok()) << reply.status();
  EXPECT_EQ(reply->mStatus.mState, TaskState::Checkpointed);
  WaitForEnd(TaskState::Checkpointed, "evicted-for-urgent");
}

TEST_F(AgentShell, AdoptsTheTasksThatRanBeforeItsRestart)
{
  StartTask(R"({"runMs":60000})");
  mAgent.reset();
  StartAgent();
  WaitFor([this] { return mEntry.Newest()->mTasks.size() == 1; });
  const Heartbeat newest = *mEntry.Newest();
  EXPECT_EQ(newest.mTasks[0].mShard, ShardOf(kJob, kShards));
  EXPECT_EQ(newest.mTasks[0].mStatus.mState, TaskState::Running);
  EXPECT_EQ(newest.mLoad.mReserved, (Resources{ 17'000, 17'384, 0 }));
}

TEST_F(AgentShell, ReportsThatItsBackendServerDrains)
{
  mBackend.Drain();
  WaitFor([this] { return mEntry.Newest()->mState == ServingState::Draining; });
  EXPECT_EQ(SendToAgent(MakeRequest("r1")).mStatus, 503U);
}

} // namespace
} // namespace foxtailbarrow
