#include "apps/taskagent/TaskAgent.h"

#include <chrono>
#include <utility>

#include "src/core/message/Codec.h"
#include "src/net/ConnectionBudget.h"
#include "src/net/TypedRpc.h"
#include "src/telemetry/Log.h"
#include "src/telemetry/ProcessMetrics.h"

namespace foxtailbarrow::taskagent {

using namespace cell;

namespace {

constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;

/// How long a worker may take to end after its deregistration. If it answers
/// for longer, an earlier incarnation sent it.
constexpr Duration kMaxDeparture = std::chrono::seconds(3);

constexpr net::ServerShare kOwnerShare{ .mMemoryPercent = 50,
                                        .mSocketPercent = 40 };
constexpr net::ServerShare kWorkerShare{ .mMemoryPercent = 45,
                                         .mSocketPercent = 10 };
constexpr net::ServerShare kPageShare{ .mMemoryPercent = 5,
                                       .mSocketPercent = 5 };

double Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

net::HttpResponse Refusal(unsigned aStatus)
{
  net::HttpResponse response;
  response.mStatus = aStatus;
  response.mHeaders.Append(net::kVerdictHeader, ToString(Verdict::NotRun));
  return response;
}

} // namespace

TaskAgent::TaskAgent(TaskAgentSettings aSettings, net::FiberRuntime& aRuntime)
  : mSettings(std::move(aSettings))
  , mRuntime(aRuntime)
  , mStore(aRuntime, { .mEndpoint = mSettings.mStore })
  , mWorkerClient(aRuntime, mSettings.mWorker)
  , mClient(aRuntime)
  , mRpc(mClient)
  , mWorker(mWorkerClient, [this] { mOwner.RequestReport(); })
  , mOwner(mSettings, aRuntime, mWorker, mStore, mRpc)
  , mAdmin(mMetrics, mState, [] { return absl::OkStatus(); })
  , mFibers(aRuntime)
{
}

TaskAgent::~TaskAgent()
{
  mWorkerServer.reset();
  mOwnerServer.reset();
  mAdminServer.reset();
  mFibers.Stop();
}

absl::Status TaskAgent::Start()
{
  AddMethods();
  AddViews();
  const auto budget = net::ConnectionBudget::OfProcess(
    mSettings.mMemoryMb, mSettings.mMaxDescriptors);
  const auto listen = [&](const char* aName,
                          const Endpoint& aEndpoint,
                          const net::ServerShare& aShare,
                          net::HttpServer::Handler aHandler,
                          std::unique_ptr<net::HttpServer>& aServer) {
    auto server = net::HttpServer::Start(
      mRuntime, aEndpoint, std::move(aHandler), LimitsFor(budget, aShare));
    if (server.ok()) {
      aServer = *std::move(server);
      mServerReports.Add(aName, *aServer);
      return absl::OkStatus();
    }
    return server.status();
  };
  absl::Status status = listen(
    "worker",
    mSettings.mControl,
    kWorkerShare,
    [this](net::HttpRequest& aRequest) { return ServeWorker(aRequest); },
    mWorkerServer);
  if (status.ok()) {
    status = listen(
      "owner",
      mSettings.mListen,
      kOwnerShare,
      [this](net::HttpRequest& aRequest) { return ServeOwner(aRequest); },
      mOwnerServer);
  }
  if (status.ok() && mSettings.mMetrics.mPort != 0) {
    status = listen(
      "metrics",
      mSettings.mMetrics,
      kPageShare,
      [this](net::HttpRequest& aRequest) { return ServeAdmin(aRequest); },
      mAdminServer);
  }
  if (!status.ok()) {
    return status;
  }
  mFibers.Repeat(mServerReportWaker, ServerReports::kInterval, [this] {
    mServerReports.Round();
  });
  mFibers.Repeat(mPollWaker, [this] {
    OnResume();
    ConfirmDeregistration();
    return mWorker.Poll();
  });
  mFibers.Repeat(mOwner.RoundWaker(), [this] { return mOwner.Round(); });
  return absl::OkStatus();
}

void TaskAgent::AddMethods()
{
  AddCordonMethod();
  net::AddTyped<AttachRequest>(
    mDispatcher, kAttachMethod, [this](const AttachRequest& aRequest) {
      return mOwner.OnAttach(aRequest, OwnerReadsStartTime::No);
    });
  net::AddTyped<AttachRequest>(mDispatcher,
                               kAttachWithStartTimeMethod,
                               [this](const AttachRequest& aRequest) {
                                 return mOwner.OnAttach(
                                   aRequest, OwnerReadsStartTime::Yes);
                               });
  net::AddTyped<OrderRequest>(
    mDispatcher, kOrderMethod, [this](const OrderRequest& aRequest) {
      return mWorker.CarryOut(aRequest);
    });
}

void TaskAgent::AddCordonMethod()
{
  net::AddTyped<CordonNotice>(
    mDispatcher, kCordonNoticeMethod, [this](const CordonNotice& aRequest) {
      mWorker.OnCordonNotice(aRequest);
      return CordonNoticeReply{};
    });
}

void TaskAgent::AddViews()
{
  AddProcessMetrics(mMetrics);
  mMetrics.SampledGauge("owner_reports", "Reports sent to the owner.", [this] {
    return static_cast<double>(mOwner.Reports());
  });
  mMetrics.SampledGauge(
    "tasks_running", "Tasks running on the worker.", [this] {
      return static_cast<double>(mWorker.Snapshot().mState.mRunning.size());
    });
  mMetrics.SampledGauge(
    "starts_over_capacity",
    "Starts refused because they exceed the worker's capacity.",
    [this] { return static_cast<double>(mWorker.RefusedOverCapacity()); });
  mMetrics.SampledGauge(
    "cordoned",
    "1 while nothing may start in the worker's failure domain.",
    [this] { return mWorker.Cordoned() ? 1.0 : 0.0; });
  mMetrics.SampledGauge(
    "looks_late", "Polls of the worker over a second apart.", [this] {
      return static_cast<double>(mWorker.Throttling().LatePolls());
    });
  mMetrics.SampledGauge(
    "paces_unanswered", "Throttle calls without an answer.", [this] {
      return static_cast<double>(mWorker.Throttling().UnansweredThrottles());
    });
  mMetrics.SampledGauge(
    "tasks_unknown", "Running tasks without metadata.", [this] {
      return static_cast<double>(mWorker.Throttling().UnknownTasks());
    });
  mMetrics.SampledGauge(
    "serving_over_longest_seconds",
    "Longest time that a serving image was over its target.",
    [this] { return Seconds(mWorker.Throttling().LongestOverTarget()); });
  mMetrics.SampledGauge(
    "worker_incarnations",
    "Processes of the worker that were seen, including restarts.",
    [this] { return static_cast<double>(mWorker.Incarnations()); });
  mMetrics.SampledGauge(
    "foreign_heartbeats",
    "Heartbeats that are not from this agent's worker.",
    [this] { return static_cast<double>(mForeignHeartbeats); });
  mMetrics.SampledGauge("log_lines_dropped",
                        "Log lines dropped by the rate and buffer limits.",
                        [] { return static_cast<double>(DroppedLogLines()); });
  mState.Add("worker", [this] {
    ReportRequest view;
    view.mAgent = mSettings.mId;
    view.mEndpoint = mSettings.mAdvertised;
    view.mState = mWorker.Snapshot().mState;
    return ToJson(view);
  });
}

net::HttpResponse TaskAgent::ServeWorker(const net::HttpRequest& aRequest)
{
  auto message = platform::ParseWorkerMessage(aRequest);
  if (absl::IsNotFound(message.status())) {
    return Refusal(kNotFound);
  }
  if (!message.ok()) {
    OnForeignHeartbeat(aRequest.mTarget,
                       std::string(message.status().message()));
    return Refusal(kBadRequest);
  }
  std::visit([this](const auto& aMessage) { OnWorkerMessage(aMessage); },
             *message);
  return platform::AcknowledgeWorkerMessage();
}

void TaskAgent::OnWorkerMessage(const platform::WorkerHeartbeat& aHeartbeat)
{
  const WorkerIncarnation& incarnation = aHeartbeat.mInfo.mIncarnation;
  const WorkerIncarnation before = mHeartbeats.Current();
  const HeartbeatDecision decision =
    mHeartbeats.Classify(incarnation, aHeartbeat.mSequence);
  const bool otherService =
    incarnation == before &&
    aHeartbeat.mInfo.mService != mWorker.Info().mService;
  if (decision == HeartbeatDecision::Foreign || otherService) {
    OnForeignHeartbeat(incarnation.mId.Value(),
                       otherService ? "another service"
                                    : "implausible sequence number");
    return;
  }
  if (decision == HeartbeatDecision::Ignore ||
      (decision == HeartbeatDecision::Confirm &&
       !mWorker.IsPresent(incarnation))) {
    return;
  }
  if (mHeartbeats.Current() != before) {
    return; // The incarnation changed meanwhile; wait for the next heartbeat.
  }
  if (incarnation != before) {
    mAwaitsEndUntil.reset();
  }
  mHeartbeats.OnAccepted(incarnation, aHeartbeat.mSequence);
  if (mWorker.UpdateInfo(aHeartbeat.mInfo)) {
    mWorker.PollFirst();
    mOwner.RequestReport();
  }
}

void TaskAgent::OnResume()
{
  if (const auto suspended =
        mResume.Poll(MonotonicNow(), std::chrono::steady_clock::now())) {
    LogWarning("resumed", { { "ms", WholeMilliseconds(*suspended) } });
    mOwner.RequestReport();
  }
}

/// Counts and logs a heartbeat that is not from the worker, and ignores it.
void TaskAgent::OnForeignHeartbeat(std::string_view aSender,
                                   std::string_view aReason)
{
  ++mForeignHeartbeats;
  if (const auto count = mForeignLogLimiter.OnEvent(aSender, aReason)) {
    LogWarning(
      "foreign-heartbeat",
      { { "sender", aSender }, { "reason", aReason }, { "count", *count } });
  }
}

void TaskAgent::OnWorkerMessage(const platform::WorkerDeregistration& aGone)
{
  const DeregistrationDecision decision =
    mHeartbeats.ClassifyDeregistration(aGone.mIncarnation);
  LogChange(
    "worker-deregistered",
    { { "incarnation", ToString(aGone.mIncarnation) },
      { "current", ToString(mHeartbeats.Current()) },
      { "confirms", decision == DeregistrationDecision::Confirm ? 1 : 0 } });
  if (decision == DeregistrationDecision::Accept) {
    OnWorkerLeft();
  } else if (decision == DeregistrationDecision::Confirm) {
    mAwaitsEndUntil = MonotonicNow() + kMaxDeparture;
    mPollWaker.Wake();
  }
}

/// Also called between polls: the worker may take a while to end.
void TaskAgent::ConfirmDeregistration()
{
  if (!mAwaitsEndUntil) {
    return;
  }
  const WorkerIncarnation leaving = mHeartbeats.Current();
  const bool ended = mWorker.HasEnded();
  if (mHeartbeats.Current() != leaving) {
    return; // A heartbeat has shown the next incarnation meanwhile.
  }
  if (ended) {
    OnWorkerLeft();
  } else if (MonotonicNow() > *mAwaitsEndUntil) {
    LogWarning("deregistration-ignored",
               { { "incarnation", ToString(leaving) } });
    mAwaitsEndUntil.reset();
  }
}

void TaskAgent::OnWorkerLeft()
{
  mAwaitsEndUntil.reset();
  mHeartbeats.OnWorkerLeft();
  LogChange("worker-gone",
            { { "incarnation", ToString(mHeartbeats.Current()) } });
  WorkerInfo info = mWorker.Info();
  info.mDraining = true;
  info.mDrainLeft = Duration::zero();
  info.mLeft = true;
  if (mWorker.UpdateInfo(info)) {
    mOwner.RequestReport();
  }
}

net::HttpResponse TaskAgent::ServeOwner(const net::HttpRequest& aRequest)
{
  return aRequest.mTarget == net::kRpcTarget ? mDispatcher.Handle(aRequest)
                                             : Refusal(kNotFound);
}

net::HttpResponse TaskAgent::ServeAdmin(const net::HttpRequest& aRequest)
{
  auto page = mAdmin.Answer(aRequest);
  return page ? *std::move(page) : Refusal(kNotFound);
}

} // namespace foxtailbarrow::taskagent
