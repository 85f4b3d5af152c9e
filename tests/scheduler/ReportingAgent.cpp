#include "tests/scheduler/ReportingAgent.h"

#include <gtest/gtest.h>

#include "src/net/TypedRpc.h"

namespace foxtailbarrow::scheduler::test {

using namespace cell;

namespace {

constexpr Duration kReportTimeout = std::chrono::milliseconds(700);

} // namespace

ReportingAgent::ReportingAgent(net::FiberRuntime& aRuntime,
                               net::RpcClient& aRpc,
                               int aNumber,
                               const Endpoint& aOwner)
  : mRpc(aRpc)
  , mId("agent-" + std::to_string(aNumber))
  , mOwner(aOwner)
{
  net::AddTyped<AttachRequest>(
    mDispatcher, kAttachMethod, [this](const AttachRequest& aRequest) {
      mSession = aRequest.mSession;
      mSequence = 0;
      mEncoder.Forget();
      AttachReply reply;
      reply.mAttached = true;
      reply.mGeneration = aRequest.mGeneration;
      reply.mState = State();
      return reply;
    });
  net::AddTyped<OrderRequest>(
    mDispatcher, kOrderMethod, [](const OrderRequest&) {
      OrderReply reply;
      reply.mAccepted = true;
      return reply;
    });
  auto server = net::HttpServer::Start(
    aRuntime, { "127.0.0.1", 0 }, [this](net::HttpRequest& aRequest) {
      return mDispatcher.Handle(aRequest);
    });
  EXPECT_TRUE(server.ok()) << server.status();
  if (server.ok()) {
    mServer = *std::move(server);
  }
}

WorkerState ReportingAgent::State()
{
  WorkerState state;
  state.mInfo.mIncarnation = WorkerIncarnation(mId.Value() + "-life");
  state.mInfo.mService = ServiceId("service");
  state.mInfo.mFailureDomain = FailureDomainId(kFailureDomain);
  state.mInfo.mCapacity = { 64'000, 256'000, 0 };
  state.mInfo.mDraining = mDraining;
  state.mInfo.mLeft = mLeft;
  for (int i = 0; i < mRunning; ++i) {
    RunningTask task;
    task.mTask = { kJob, 0, 0, i };
    task.mRun = 1;
    task.mFigure = ++mFigure;
    state.mRunning.push_back(task);
  }
  for (int i = 0; i < mEndedDone; ++i) {
    state.mEnded.push_back(
      { i + 1, { kJob, 0, 0, kTasks - 1 - i }, 1, RunEnd::Done, {} });
  }
  return state;
}

void ReportingAgent::Report()
{
  ReportRequest report;
  report.mAgent = mId;
  report.mEndpoint = mServer->ListeningEndpoint();
  report.mSession = mSession;
  report.mSequence = ++mSequence;
  report.mOrdersDone = kAllOrders;
  mEncoder.Fill(State(), MonotonicNow(), report);
  const auto reply = net::CallTyped<ReportReply>(
    mRpc, mOwner, kReportMethod, report, kReportTimeout);
  if (!reply.ok() || !reply->mAttached || reply->mSendFullState ||
      report.mSession != mSession) {
    mEncoder.Forget();
    return;
  }
  mEncoder.OnAccepted(report);
  ++mAcceptedReports;
}

} // namespace foxtailbarrow::scheduler::test
