#include "apps/agent/Agent.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "foxtailbarrow/MethodNames.h"
#include "src/core/contract/ConfigurationDelta.h"
#include "src/net/ConnectionBudget.h"
#include "src/net/TypedRpc.h"
#include "src/telemetry/Log.h"
#include "src/telemetry/ProcessMetrics.h"

namespace foxtailbarrow {

namespace {

/// A drained agent exits without acknowledgements after this long without an
/// answer from any entry.
constexpr Duration kNoEntryTimeout = std::chrono::seconds(5);

constexpr net::ServerShare kOnlyServer{ .mMemoryPercent = 100,
                                        .mSocketPercent = 45 };

/// Wall-clock time, since a later start must have a greater incarnation.
Incarnation IncarnationNow()
{
  const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<Incarnation>(
    std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count());
}

} // namespace

Agent::Agent(AgentSettings aSettings, net::FiberRuntime& aRuntime)
  : mSettings(std::move(aSettings))
  , mIncarnation(IncarnationNow())
  , mPages(mMetrics, mState, [this] { return Health(); })
  , mClient(aRuntime)
  , mWorker(mClient, mSettings.mWorker, mSettings.mWorkerTimeout)
  , mForwarder(mSettings, mClient, mMetrics, MonotonicNow())
  , mTasks(
      mSettings,
      mIncarnation,
      aRuntime,
      mWorker,
      mMetrics,
      [this] {
        Update();
        mHeartbeats.SendNow();
      },
      [this](const TaskKey& aKey, double aUsed, Instant aTakenAt) {
        mColocation.OnUsage(aKey, aUsed, aTakenAt);
      })
  , mColocation(aRuntime,
                mMetrics,
                { [this] { return mTasks.ColocatedTasks(); },
                  [this] { return mTasks.LatencyWeight(); },
                  [this](const TaskKey& aKey, double aFraction) {
                    mTasks.Throttle(aKey, aFraction);
                  },
                  [this](const TaskKey& aKey, Reason aReason) {
                    mTasks.Evict(aKey, aReason);
                  } })
  , mHeartbeats(mSettings,
                aRuntime,
                mClient,
                mMetrics,
                { [this](Heartbeat& aHeartbeat) { FillHeartbeat(aHeartbeat); },
                  [this](const EntryId& aEntry) {
                    const std::lock_guard lock(mConfigurationMutex);
                    return mConfiguration.CursorFor(aEntry);
                  },
                  [this](std::uint64_t aSequence, Instant aNow) {
                    mTasks.HeartbeatSent(aSequence, aNow);
                  },
                  [this](const Heartbeat& aSent, const HeartbeatReply& aReply) {
                    ApplyReply(aSent, aReply);
                  } })
  , mProbe(mSettings,
           aRuntime,
           mClient,
           [this](bool) {
             Update();
             mHeartbeats.SendNow();
           })
  , mFibers(aRuntime)
{
  mForwarder.SetOnServed([this](Duration aHeld, std::int32_t aInUse) {
    mColocation.OnServed(aHeld, aInUse, mSettings.mSlots.mSlots);
  });
  AddMethods();
  AddStateSources();
  AddGauges();
}

absl::StatusOr<std::unique_ptr<Agent>> Agent::Start(AgentSettings aSettings,
                                                    net::FiberRuntime& aRuntime)
{
  std::unique_ptr<Agent> agent(new Agent(std::move(aSettings), aRuntime));
  const auto budget = net::ConnectionBudget::OfProcess(
    agent->mSettings.mMemoryMb, agent->mSettings.mMaxDescriptors);
  auto server = net::HttpServer::Start(
    aRuntime,
    agent->mSettings.mListen,
    [self = agent.get()](net::HttpRequest& aRequest) {
      return self->Handle(aRequest);
    },
    LimitsFor(budget, kOnlyServer));
  if (!server.ok()) {
    return server.status();
  }
  agent->mServer = *std::move(server);
  agent->mEndpoint = agent->mServer->ListeningEndpoint();
  agent->mServerReports.Add("entries", *agent->mServer);
  agent->mFibers.Repeat(agent->mServerReportWaker,
                        ServerReports::kInterval,
                        [self = agent.get()] { self->mServerReports.Round(); });
  agent->mTasks.Start();
  agent->mProbe.Start();
  agent->mColocation.Start();
  agent->mHeartbeats.Start();
  return agent;
}

net::HttpResponse Agent::Handle(net::HttpRequest& aRequest)
{
  if (aRequest.mTarget == net::kRpcTarget) {
    return mDispatcher.Handle(aRequest);
  }
  if (auto page = mPages.Answer(aRequest)) {
    return *std::move(page);
  }
  return mForwarder.Forward(aRequest);
}

void Agent::AddMethods()
{
  net::AddTyped<Assign>(
    mDispatcher, kAssignMethod, [this](const Assign& aAssign) {
      return mTasks.Assign(aAssign);
    });
  net::AddTyped<Control>(
    mDispatcher, kControlMethod, [this](const Control& aControl) {
      return mTasks.Control(aControl);
    });
  net::AddTyped<Revoke>(
    mDispatcher, kRevokeMethod, [this](const Revoke& aRevoke) {
      return mForwarder.Revoke(aRevoke);
    });
}

void Agent::AddStateSources()
{
  mState.Add("agent", [this] { return IdentityJson(); });
  mState.Add("ledger", [this] { return mTasks.LedgerJson(); });
  mState.Add("tasks", [this] { return mTasks.TasksJson(); });
  mState.Add("colocation", [this] { return mColocation.StateJson(); });
  mState.Add("heartbeats", [this] { return mHeartbeats.StateJson(); });
}

void Agent::AddGauges()
{
  AddProcessMetrics(mMetrics);
  mMetrics.SampledGauge("agent_slots_in_use", "Slots in use", [this] {
    return static_cast<double>(mForwarder.Load().mInUse);
  });
  mMetrics.SampledGauge("agent_requests_waiting", "Waiting for a slot", [this] {
    return static_cast<double>(mForwarder.Load().mWaiting);
  });
  mMetrics.SampledGauge(
    "agent_configuration_revision", "Newest configuration applied", [this] {
      return static_cast<double>(AppliedConfiguration());
    });
}

Json::Value Agent::IdentityJson() const
{
  const SlotLoad load = mForwarder.Load();
  Json::Value object(Json::objectValue);
  object["id"] = mSettings.mId.Value();
  object["incarnation"] = Json::UInt64{ mIncarnation };
  object["service"] = mSettings.mService.Value();
  object["rack"] = mSettings.mRack.Value();
  object["failureDomain"] = mSettings.mFailureDomain.Value();
  object["state"] = std::string(ToString(State()));
  object["backendServerUp"] = mProbe.IsUp();
  object["configuration"] = Json::Int64{ AppliedConfiguration() };
  object["slots"] = load.mSlots;
  object["slotsInUse"] = load.mInUse;
  object["waiting"] = load.mWaiting;
  object["rememberedRequests"] =
    Json::UInt64{ mForwarder.RememberedRequests() };
  return object;
}

absl::Status Agent::Health() const
{
  if (State() == ServingState::Serving) {
    return absl::OkStatus();
  }
  const std::string_view state = ToString(State());
  return absl::UnavailableError(absl::string_view(state.data(), state.size()));
}

ServingState Agent::State() const
{
  return mServing;
}

/// Updates the serving state and opens or closes the forwarder.
void Agent::Update()
{
  ServingState state = ServingState::Serving;
  if (mDraining) {
    state = ServingState::Draining;
  } else if (!mTasks.Ready()) {
    state = ServingState::Starting;
  } else if (!mProbe.IsUp()) {
    state = mServing == ServingState::Starting ? ServingState::Starting
                                               : ServingState::Draining;
  }
  mForwarder.SetOpen(state == ServingState::Serving);
  if (mServing.exchange(state) != state) {
    LogChange("agent-state", { { "state", std::string(ToString(state)) } });
  }
}

void Agent::FillHeartbeat(Heartbeat& aHeartbeat)
{
  Update();
  aHeartbeat.mAgent = mSettings.mId;
  aHeartbeat.mIncarnation = mIncarnation;
  aHeartbeat.mEndpoint = mEndpoint;
  aHeartbeat.mService = mSettings.mService;
  aHeartbeat.mRack = mSettings.mRack;
  aHeartbeat.mFailureDomain = mSettings.mFailureDomain;
  aHeartbeat.mState = State();
  const SlotLoad load = mForwarder.Load();
  aHeartbeat.mLoad.mSlots = load.mSlots;
  aHeartbeat.mLoad.mSlotsInUse = load.mInUse;
  aHeartbeat.mLoad.mWaiting = load.mWaiting;
  mTasks.Fill(aHeartbeat);
}

void Agent::ApplyReply(const Heartbeat& aSent, const HeartbeatReply& aReply)
{
  ApplyConfiguration(aSent, aReply);
  mTasks.ApplyReply(aSent.mSequence, aReply);
}

void Agent::ApplyConfiguration(const Heartbeat& aSent,
                               const HeartbeatReply& aReply)
{
  const std::lock_guard lock(mConfigurationMutex);
  const std::vector<CustomerId> changed =
    mConfiguration.Apply(aReply.mEntry, ReadDelta(aReply), FilterFor(aSent));
  for (const CustomerId& customer : changed) {
    if (const Contract* const contract = mConfiguration.Find(customer)) {
      mTasks.ApplyContract(*contract);
    } else {
      mTasks.RemoveContract(customer);
    }
  }
}

Revision Agent::AppliedConfiguration() const
{
  const std::lock_guard lock(mConfigurationMutex);
  return mConfiguration.Through();
}

void Agent::Drain()
{
  mDraining = true;
  Update();
  mDrainSequence = mHeartbeats.SentSequence() + 1;
  mTasks.Drain();
  mHeartbeats.SendNow();
}

bool Agent::Done() const
{
  const SlotLoad load = mForwarder.Load();
  const bool isIdle = load.mInUse == 0 && load.mWaiting == 0 &&
                      mServer->RequestsInProgress() == 0;
  const bool isReported =
    mHeartbeats.Reported(mDrainSequence) && mTasks.Empty();
  const bool isWithoutEntries =
    mHeartbeats.LastAnswer() + kNoEntryTimeout <= MonotonicNow() &&
    mTasks.AllEnded();
  return isIdle && (isReported || isWithoutEntries);
}

Agent::~Agent()
{
  mServer.reset();
  mHeartbeats.Stop();
  mProbe.Stop();
  mColocation.Stop();
  mTasks.Stop();
  mFibers.Stop();
}

} // namespace foxtailbarrow
