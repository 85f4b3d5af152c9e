#include "apps/scheduler/Scheduler.h"

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

#include "apps/scheduler/RequestText.h"
#include "platform/JobApi.h"
#include "src/core/cell/JobForward.h"
#include "src/core/message/Codec.h"
#include "src/net/TypedRpc.h"
#include "src/telemetry/Log.h"
#include "src/telemetry/ProcessMetrics.h"

namespace foxtailbarrow::scheduler {

using namespace cell;

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kNotFound = 404;
constexpr unsigned kUnavailable = 503;
constexpr Duration kDrainPoll = std::chrono::milliseconds(10);
constexpr Duration kProbeCheck = std::chrono::milliseconds(100);
/// Longest time that a watch call waits for a change.
constexpr Duration kLongestWatchWait = std::chrono::seconds(10);
/// Interval of checks for the first configuration. Until it is read, this
/// scheduler takes no part in the election: an owner would have no policies for
/// its jobs.
constexpr Duration kConfigurationPoll = std::chrono::milliseconds(20);
/// Granted leases are shorter than the longest accepted one by this much.
constexpr Duration kLeaseReserve = std::chrono::milliseconds(400);

/// Shares of the servers; two have pages only.
constexpr net::ServerShare kCallerShare{ .mMemoryPercent = 30,
                                         .mSocketPercent = 20 };
constexpr net::ServerShare kPeerShare{ .mMemoryPercent = 38,
                                       .mSocketPercent = 30 };
constexpr net::ServerShare kControlShare{ .mMemoryPercent = 26,
                                          .mSocketPercent = 15 };
constexpr net::ServerShare kPageShare{ .mMemoryPercent = 3,
                                       .mSocketPercent = 1 };

const JobRefused kNoAdvisor{
  RefusalCause::Unsupported,
  Verdict::NotRun,
  "the queue needs an advice service, and none is configured"
};

net::HttpResponse Plain(unsigned aStatus, std::string aText)
{
  net::HttpResponse response;
  response.mStatus = aStatus;
  response.mBody = std::move(aText);
  return response;
}

/// The operator's limits, or the default ones.
net::HttpRequestLimits RequestLimitsOf(const CellConfiguration& aConfiguration)
{
  // The operator's limit may be meant without the request line.
  constexpr std::size_t kRequestLineBytes = 4096;
  net::HttpRequestLimits limits;
  if (aConfiguration.mMaxHeaderBytes > 0) {
    limits.mMaxHeaderBytes = aConfiguration.mMaxHeaderBytes + kRequestLineBytes;
  }
  if (aConfiguration.mMaxBodyBytes > 0) {
    limits.mMaxBodyBytes = aConfiguration.mMaxBodyBytes;
  }
  if (aConfiguration.mHeaderTimeout > Duration::zero()) {
    limits.mHeaderTimeout = aConfiguration.mHeaderTimeout;
  }
  if (aConfiguration.mIdleTimeout > Duration::zero()) {
    limits.mKeepAliveTimeout = aConfiguration.mIdleTimeout;
  }
  return limits;
}

CellSettings CellSettingsFor(const SchedulerSettings& aSettings)
{
  CellSettings settings;
  settings.mStopTime = aSettings.mStopTime;
  settings.mLimits =
    CellLimits::ForMemory(static_cast<std::size_t>(aSettings.mMemoryMb) << 20U);
  const Duration longest = aSettings.mMaxWorkerLease - kLeaseReserve;
  // Where stops are long, tasks outlive an outage of the store for as long as
  // workers accept leases. An owner that is lost right after an outage of four
  // seconds leaves the next one no time to take over before all leases end.
  settings.mOwnershipTimeout =
    settings.LooksAhead() ? longest
                          : std::min(settings.mOwnershipTimeout, longest);
  settings.mMaxTaskLease = std::min(settings.mMaxTaskLease, longest);
  return settings;
}

/// If the response to a watch call is lost, a change is noticed when the call
/// times out, which has to leave time to read it.
platform::KvStoreSettings StoreSettingsFor(const SchedulerSettings& aSettings)
{
  platform::KvStoreSettings settings;
  settings.mEndpoint = aSettings.mStore;
  settings.mWatchWait =
    std::min(aSettings.mConfigurationTimeout / 2, kLongestWatchWait);
  return settings;
}

std::vector<Endpoint> PeersOf(const SchedulerSettings& aSettings)
{
  std::vector<Endpoint> peers = aSettings.mSeeds;
  std::erase(peers, aSettings.mControl);
  std::erase(peers, aSettings.mPeers);
  std::erase(peers, aSettings.mAdvertised);
  return peers;
}

std::vector<QueuePolicy> QueuesOf(const CellConfiguration* aConfiguration)
{
  std::vector<QueuePolicy> queues;
  if (aConfiguration != nullptr) {
    for (const QueueRoute& route : aConfiguration->mRoutes) {
      queues.push_back(route.mPolicy);
    }
  }
  return queues;
}

} // namespace

Scheduler::Scheduler(SchedulerSettings aSettings, net::FiberRuntime& aRuntime)
  : mSettings(std::move(aSettings))
  , mCellSettings(CellSettingsFor(mSettings))
  , mRuntime(aRuntime)
  , mPlainStore(aRuntime, StoreSettingsFor(mSettings))
  , mCountedStore(mPlainStore)
  , mStore(mCountedStore)
  , mStoreProbe(mStore)
  , mAdvice(aRuntime, mSettings.mAdvice)
  , mClient(aRuntime)
  , mRpc(mClient)
  , mConfiguration(
      mStore,
      [this](const CellConfiguration& aConfiguration) {
        AddQueueMetrics(aConfiguration);
        if (mCallers) {
          mCallers->SetRequestLimits(RequestLimitsOf(aConfiguration));
        }
        // Includes an owner that is still loading: without the
        // policies it would start nothing until the next change.
        if (const auto owner = mElection.Term()) {
          owner->SetQueues(QueuesOf(&aConfiguration));
        }
      },
      [this](const CordonTable& aCordons) { OnCordons(aCordons); })
  , mElection(mSettings,
              mCellSettings,
              mStore,
              [this](const OwnerTerm& aTerm) { return MakeOwner(aTerm); })
  , mCordonSpread(mRpc, mElection)
  , mJobs(aRuntime, mStore, mRpc, mElection, PeersOf(mSettings))
  , mAdmin(mMetrics, mState, [this] { return Readiness(); })
  , mAnswerTime(
      mMetrics.Histogram("answer_seconds",
                         "Time from a caller's request to its answer."))
  , mFibers(aRuntime)
{
}

Scheduler::~Scheduler()
{
  mCallers.reset();
  mReady.reset();
  mPeers.reset();
  mControl.reset();
  mAdminServer.reset();
  mFibers.Stop();
}

std::shared_ptr<CellOwner> Scheduler::MakeOwner(const OwnerTerm& aTerm)
{
  return std::make_shared<CellOwner>(
    CellOwner::Parts{ mRuntime,
                      mStore,
                      mRpc,
                      mSettings.mAdvertised,
                      mSettings.mKeepEnded,
                      mSettings.mAdvice.mPort == 0 ? nullptr : &mAdvice,
                      [this] { return mConfiguration.Refresh(); },
                      [this] { mElection.Superseded(); },
                      [this] {
                        return mDispatcher.CodecTime().Total() +
                               mRpc.CodecTime().Total();
                      } },
    aTerm,
    mCellSettings,
    QueuesOf(mConfiguration.Newest().get()),
    mConfiguration.Cordons());
}

void Scheduler::OnCordons(const CordonTable& aCordons)
{
  if (const auto owner = mElection.Term()) {
    owner->SetCordons(aCordons);
  }
  mCordonSpread.OnChange(aCordons);
}

absl::Status Scheduler::Listen(const char* aName,
                               const Endpoint& aEndpoint,
                               const net::ServerShare& aShare,
                               net::HttpServer::Handler aHandler,
                               std::unique_ptr<net::HttpServer>& aServer)
{
  if (aEndpoint.mPort == 0) {
    return absl::OkStatus();
  }
  const auto budget = net::ConnectionBudget::OfProcess(
    mSettings.mMemoryMb, mSettings.mMaxDescriptors);
  auto server = net::HttpServer::Start(
    mRuntime, aEndpoint, std::move(aHandler), LimitsFor(budget, aShare));
  if (!server.ok()) {
    return server.status();
  }
  aServer = *std::move(server);
  mServerReports.Add(aName, *aServer);
  return absl::OkStatus();
}

absl::Status Scheduler::ListenAll()
{
  using Request = net::HttpRequest;
  const auto peer = [this](Request& aRequest) { return ServePeer(aRequest); };
  absl::Status status =
    Listen("peers", mSettings.mPeers, kPeerShare, peer, mPeers);
  if (status.ok()) {
    status =
      Listen("control", mSettings.mControl, kControlShare, peer, mControl);
  }
  if (status.ok()) {
    status = Listen(
      "ready",
      mSettings.mReady,
      kPageShare,
      [this](Request& aRequest) { return ServeReady(aRequest); },
      mReady);
  }
  if (status.ok()) {
    status = Listen(
      "metrics",
      mSettings.mMetrics,
      kPageShare,
      [this](Request& aRequest) { return ServeAdmin(aRequest); },
      mAdminServer);
  }
  if (status.ok()) {
    status = Listen(
      "callers",
      mSettings.mListen,
      kCallerShare,
      [this](Request& aRequest) { return ServeCaller(aRequest); },
      mCallers);
  }
  return status;
}

absl::Status Scheduler::Start()
{
  AddMethods();
  AddViews();
  if (absl::Status status = ListenAll(); !status.ok()) {
    return status;
  }
  mFibers.Repeat(mConfigurationWaker,
                 [this] { return mConfiguration.Round(); });
  mFibers.Repeat(mElection.RoundWaker(), [this] {
    return mConfiguration.Found() ? mElection.Round() : kConfigurationPoll;
  });
  mFibers.Repeat(mCordonSpread.RoundWaker(),
                 [this] { return mCordonSpread.Round(); });
  mFibers.Repeat(mResumeWaker, [this] {
    const Duration pause = mConfiguration.Confirm();
    return pause > Duration::zero() ? pause : FiberGroup::kUntilWoken;
  });
  mFibers.Repeat(mServerReportWaker, ServerReports::kInterval, [this] {
    mServerReports.Round();
  });
  mFibers.Repeat(mProbeWaker, kProbeCheck, [this] {
    OnResume();
    mStoreProbe.Round();
  });
  return absl::OkStatus();
}

JobAnswer Scheduler::Refuse(const absl::Status& aStatus) const
{
  const RefusalCause cause = absl::IsNotFound(aStatus)
                               ? RefusalCause::NoSuchQueue
                               : RefusalCause::BadRequest;
  return JobRefused{ cause, Verdict::NotRun, std::string(aStatus.message()) };
}

/// True for a job of a queue that needs the advice service in a deployment
/// without one.
bool Scheduler::RequiresMissingAdvisor(
  const JobRequest& aRequest,
  const CellConfiguration& aConfiguration) const
{
  const auto* submit = std::get_if<SubmitJob>(&aRequest.mBody);
  return submit != nullptr && mSettings.mAdvice.mPort == 0 &&
         std::ranges::any_of(
           aConfiguration.mRoutes, [&](const QueueRoute& aRoute) {
             return aRoute.mPolicy.mQueue == submit->mGraph.mQueue &&
                    aRoute.mPolicy.mAdvice.has_value();
           });
}

net::HttpResponse Scheduler::ServeCaller(const net::HttpRequest& aRequest)
{
  const Instant begin = MonotonicNow();
  OnResume();
  const auto configuration = mConfiguration.Current();
  JobAnswer answer =
    JobRefused{ RefusalCause::NotReady,
                Verdict::NotRun,
                "the configuration is not known or may be outdated" };
  std::string_view kind = "unparsed";
  if (configuration) {
    const auto request = platform::ParseJobRequest(aRequest, *configuration);
    kind = request.ok() ? KindOf(*request) : kind;
    answer = !request.ok() ? Refuse(request.status())
             : RequiresMissingAdvisor(*request, *configuration)
               ? kNoAdvisor
               : mJobs.Answer(*request);
  }
  const Duration took = MonotonicNow() - begin;
  mAnswerTime.Observe(std::chrono::duration<double>(took).count());
  LogChange("request",
            { { "target", aRequest.mTarget },
              { "kind", kind },
              { "configuration", configuration ? configuration->mVersion : 0 },
              { "outcome", OutcomeOf(answer) },
              { "ms",
                std::chrono::duration_cast<std::chrono::milliseconds>(took)
                  .count() } });
  return platform::FormatAnswer(answer);
}

/// Leases expire by the clock, but the configuration must be read again.
void Scheduler::OnResume()
{
  const auto suspended =
    mResume.Poll(MonotonicNow(), std::chrono::steady_clock::now());
  if (!suspended) {
    return;
  }
  LogWarning("resumed", { { "ms", WholeMilliseconds(*suspended) } });
  mConfiguration.MarkStale();
  mResumeWaker.Wake();
}

absl::Status Scheduler::Readiness() const
{
  if (mDraining) {
    return absl::UnavailableError("draining");
  }
  if (!mConfiguration.Current()) {
    return absl::UnavailableError("no configuration");
  }
  if (!mStore.Answers()) {
    return absl::UnavailableError("the store does not answer");
  }
  return absl::OkStatus();
}

net::HttpResponse Scheduler::ServeReady(const net::HttpRequest&)
{
  const absl::Status ready = Readiness();
  if (ready.ok() != std::exchange(mLoggedReady, ready.ok())) {
    LogChange("readiness",
              { { "ready", ready.ok() ? 1 : 0 },
                { "reason", std::string(ready.message()) } });
  }
  return ready.ok() ? Plain(kOk, "ready\n")
                    : Plain(kUnavailable, std::string(ready.message()));
}

net::HttpResponse Scheduler::ServePeer(const net::HttpRequest& aRequest)
{
  return aRequest.mTarget == net::kRpcTarget ? mDispatcher.Handle(aRequest)
                                             : Plain(kNotFound, "no such page");
}

net::HttpResponse Scheduler::ServeAdmin(const net::HttpRequest& aRequest)
{
  auto page = mAdmin.Answer(aRequest);
  return page ? *std::move(page) : Plain(kNotFound, "no such page");
}

void Scheduler::Drain()
{
  const Instant end = MonotonicNow() + mSettings.mDrainTimeout;
  mRuntime.RunAndWait([this] { mDraining = true; });
  mCallers->Drain();
  mRuntime.RunAndWait([this] { mElection.Resign(); });
  while (mCallers->Connections() > 0 && MonotonicNow() < end) {
    std::this_thread::sleep_for(kDrainPoll);
  }
}

} // namespace foxtailbarrow::scheduler
