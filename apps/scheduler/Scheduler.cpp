#include "apps/scheduler/Scheduler.h"

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

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
/// Between two small reads that show whether the store answers.
constexpr Duration kPulseInterval = std::chrono::milliseconds(300);
/// Leases are granted for so much less than workers accept.
constexpr Duration kHoldReserve = std::chrono::milliseconds(400);

net::HttpResponse Plain(unsigned aStatus, std::string aText)
{
  net::HttpResponse response;
  response.mStatus = aStatus;
  response.mBody = std::move(aText);
  return response;
}

CellSettings CellSettingsFor(Duration aMaxHold)
{
  CellSettings settings;
  const Duration longest = aMaxHold - kHoldReserve;
  settings.mAuthority = std::min(settings.mAuthority, longest);
  settings.mHold = std::min(settings.mHold, longest);
  return settings;
}

std::vector<Endpoint> PeersOf(const SchedulerSettings& aSettings)
{
  std::vector<Endpoint> peers = aSettings.mSeeds;
  std::erase(peers, aSettings.mControl);
  std::erase(peers, aSettings.mPeers);
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

std::string_view Kind(const JobRequest& aRequest)
{
  struct Name
  {
    std::string_view operator()(const SubmitJob&) const { return "submit"; }
    std::string_view operator()(const ReadJob&) const { return "read"; }
    std::string_view operator()(const CancelJob&) const { return "cancel"; }
    std::string_view operator()(const CountWaitingJobs&) const
    {
      return "count";
    }
  };
  return std::visit(Name(), aRequest.mBody);
}

std::string OutcomeOf(const JobAnswer& aAnswer)
{
  struct Name
  {
    std::string operator()(const JobAccepted&) const { return "accepted"; }
    std::string operator()(const JobShown& aShown) const
    {
      return std::string(ToString(aShown.mPhase));
    }
    std::string operator()(const JobCancelled&) const { return "cancelled"; }
    std::string operator()(const WaitingCounted& aCounted) const
    {
      return "waiting-" + std::to_string(aCounted.mWaiting);
    }
    std::string operator()(const NoSuchJob&) const { return "no-such-job"; }
    std::string operator()(const JobRefused& aRefused) const
    {
      return std::string(ToString(aRefused.mCause)) + "," +
             std::string(ToString(aRefused.mVerdict)) + "," + aRefused.mMessage;
    }
  };
  return std::visit(Name(), aAnswer);
}

} // namespace

Scheduler::Scheduler(SchedulerSettings aSettings, net::FiberRuntime& aRuntime)
  : mSettings(std::move(aSettings))
  , mCellSettings(CellSettingsFor(mSettings.mMaxHold))
  , mRuntime(aRuntime)
  , mPlainStore(aRuntime, { .mEndpoint = mSettings.mStore })
  , mCountedStore(mPlainStore)
  , mStore(mCountedStore)
  , mClient(aRuntime)
  , mRpc(mClient)
  , mConfiguration(mStore,
                   [this](const CellConfiguration& aConfiguration) {
                     if (const auto owner = mElection.Owner()) {
                       owner->SetQueues(QueuesOf(&aConfiguration));
                     }
                   })
  , mElection(mSettings,
              mCellSettings,
              mStore,
              [this](const OwnerTerm& aTerm) { return MakeOwner(aTerm); })
  , mJobs(aRuntime, mStore, mRpc, mElection, PeersOf(mSettings))
  , mAdmin(mMetrics, mState, [this] { return Readiness(); })
  , mAnswerTime(mMetrics.Histogram("answer_seconds",
                                   "From a caller's request to its answer."))
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
                      mSettings.mPeers,
                      mSettings.mKeepEnded,
                      [this] { mElection.Superseded(); } },
    aTerm,
    mCellSettings,
    QueuesOf(mConfiguration.Current().get()));
}

absl::Status Scheduler::Listen(const Endpoint& aEndpoint,
                               net::HttpServer::Handler aHandler,
                               std::unique_ptr<net::HttpServer>& aServer)
{
  if (aEndpoint.mPort == 0) {
    return absl::OkStatus();
  }
  auto server =
    net::HttpServer::Start(mRuntime, aEndpoint, std::move(aHandler));
  if (!server.ok()) {
    return server.status();
  }
  aServer = *std::move(server);
  return absl::OkStatus();
}

absl::Status Scheduler::ListenAll()
{
  using Request = net::HttpRequest;
  const auto peer = [this](Request& aRequest) { return ServePeer(aRequest); };
  absl::Status status = Listen(mSettings.mPeers, peer, mPeers);
  if (status.ok()) {
    status = Listen(mSettings.mControl, peer, mControl);
  }
  if (status.ok()) {
    status = Listen(
      mSettings.mReady,
      [this](Request& aRequest) { return ServeReady(aRequest); },
      mReady);
  }
  if (status.ok()) {
    status = Listen(
      mSettings.mMetrics,
      [this](Request& aRequest) { return ServeAdmin(aRequest); },
      mAdminServer);
  }
  if (status.ok()) {
    status = Listen(
      mSettings.mListen,
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
  mFibers.Repeat(mConfigurationPoke, [this] { return mConfiguration.Round(); });
  mFibers.Repeat(mElection.RoundPoke(), [this] { return mElection.Round(); });
  mFibers.Repeat(mPulsePoke, kPulseInterval, [this] {
    const auto entry = mStore.Read(cell::kCellKey);
    NotePulse(entry.status());
  });
  return absl::OkStatus();
}

void Scheduler::AddMethods()
{
  net::AddTyped<ReportRequest>(
    mDispatcher, kReportMethod, [this](const ReportRequest& aRequest) {
      if (const auto owner = mElection.Owner()) {
        return owner->OnReport(aRequest);
      }
      ReportReply reply;
      reply.mGeneration = mElection.KnownGeneration();
      if (const auto at = mElection.OwnerAt(); at && *at != mSettings.mPeers) {
        reply.mOwnerAt.push_back(*at);
      }
      return reply;
    });
  net::AddTyped<FindOwner>(
    mDispatcher, kFindOwnerMethod, [this](const FindOwner&) {
      FindOwnerReply reply;
      reply.mGeneration = mElection.KnownGeneration();
      if (const auto at = mElection.OwnerAt()) {
        reply.mOwnerAt.push_back(*at);
      }
      return reply;
    });
  net::AddTyped<QueryJob>(
    mDispatcher, kQueryJobMethod, [this](const QueryJob& aRequest) {
      QueryJobReply reply;
      if (const auto owner = mElection.Owner(); owner && owner->Current()) {
        reply.mOwner = true;
        const auto phase = owner->Logic().PhaseOf(aRequest.mJob);
        reply.mKnown = phase.has_value();
        reply.mPhase = phase.value_or(JobPhase::Queued);
      }
      return reply;
    });
  net::AddTyped<QueryWaiting>(
    mDispatcher, kQueryWaitingMethod, [this](const QueryWaiting& aRequest) {
      QueryWaitingReply reply;
      if (const auto owner = mElection.Owner(); owner && owner->Current()) {
        reply.mOwner = true;
        reply.mWaiting = owner->Logic().WaitingJobs(aRequest.mQueue);
      }
      return reply;
    });
  net::AddTyped<ForwardedRequest>(
    mDispatcher, kForwardMethod, [this](const ForwardedRequest& aRequest) {
      const JobAnswer answer = mJobs.AnswerHere(FromForwarded(aRequest));
      LogChange("forwarded-request",
                { { "kind", ToString(aRequest.mKind) },
                  { "job",
                    aRequest.mGraph.empty() ? aRequest.mJob
                                            : aRequest.mGraph.front().mId },
                  { "outcome", OutcomeOf(answer) } });
      return ToForwarded(answer);
    });
  net::AddTyped<RecordChanged>(
    mDispatcher, kRecordChangedMethod, [this](const RecordChanged& aRequest) {
      if (const auto owner = mElection.Owner()) {
        owner->OnRecordChanged(aRequest.mJob);
      }
      return RecordChangedReply{};
    });
}

void Scheduler::AddViews()
{
  AddProcessMetrics(mMetrics);
  mMetrics.SampledGauge("cell_owner", "1 while this process owns it.", [this] {
    return mElection.Owner() ? 1.0 : 0.0;
  });
  mMetrics.SampledGauge(
    "cell_generation", "Newest known generation of the cell.", [this] {
      return static_cast<double>(mElection.KnownGeneration());
    });
  const auto figure = [this](const char* aName,
                             const char* aHelp,
                             std::uint64_t OwnerFigures::*aFigure) {
    mMetrics.SampledGauge(aName, aHelp, [this, aFigure] {
      const auto owner = mElection.Owner();
      return owner ? static_cast<double>(owner->Figures().*aFigure) : 0.0;
    });
  };
  figure(
    "owner_reports", "Reports taken in this term.", &OwnerFigures::mReports);
  figure("owner_orders", "Orders sent in this term.", &OwnerFigures::mOrders);
  figure("owner_starts", "Tasks started in this term.", &OwnerFigures::mStarts);
  figure(
    "owner_records", "Progress writes in this term.", &OwnerFigures::mRecords);
  mMetrics.SampledGauge("jobs_known", "Jobs that the owner knows.", [this] {
    const auto owner = mElection.Owner();
    return owner ? static_cast<double>(owner->Logic().Jobs().size()) : 0.0;
  });
  mMetrics.SampledGauge("log_lines_dropped", "Lines above the bounds.", [] {
    return static_cast<double>(DroppedLogLines());
  });
  mState.Add("cell", [this] {
    FindOwnerReply view;
    view.mGeneration = mElection.KnownGeneration();
    if (const auto at = mElection.OwnerAt()) {
      view.mOwnerAt.push_back(*at);
    }
    return ToJson(view);
  });
}

JobAnswer Scheduler::Refuse(const absl::Status& aStatus) const
{
  const RefusalCause cause = absl::IsNotFound(aStatus)
                               ? RefusalCause::NoSuchQueue
                               : RefusalCause::BadRequest;
  return JobRefused{ cause, Verdict::NotRun, std::string(aStatus.message()) };
}

net::HttpResponse Scheduler::ServeCaller(const net::HttpRequest& aRequest)
{
  const Instant begin = MonotonicNow();
  const auto configuration = mConfiguration.Current();
  JobAnswer answer = JobRefused{ RefusalCause::NotReady,
                                 Verdict::NotRun,
                                 "no configuration has been read yet" };
  std::string_view kind = "unparsed";
  if (configuration) {
    const auto request = platform::ParseJobRequest(aRequest, *configuration);
    kind = request.ok() ? Kind(*request) : kind;
    answer = request.ok() ? mJobs.Answer(*request) : Refuse(request.status());
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

void Scheduler::NotePulse(const absl::Status& aStatus)
{
  const bool answers = mStore.Answers();
  if (answers != std::exchange(mStoreAnswered, answers)) {
    LogChange(answers ? "store-answers" : "store-silent",
              { { "status", aStatus.ToString() } });
  }
}

net::HttpResponse Scheduler::ServeReady(const net::HttpRequest&)
{
  const absl::Status ready = Readiness();
  if (ready.ok() != std::exchange(mWasReady, ready.ok())) {
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
