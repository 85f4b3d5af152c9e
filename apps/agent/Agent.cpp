#include "apps/agent/Agent.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "foxtailbarrow/MethodNames.h"
#include "src/net/TypedRpc.h"
#include "src/telemetry/Log.h"

namespace foxtailbarrow {

namespace {

/// An agent that no entry has answered for this long leaves without them.
constexpr Duration kAlone = std::chrono::seconds(5);

/// Wall time, since a later start of the agent must have a greater number.
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
  , mTasks(mSettings,
           mIncarnation,
           aRuntime,
           mWorker,
           mMetrics,
           [this] {
             Update();
             mHeartbeats.SendNow();
           })
  , mHeartbeats(
      mSettings,
      aRuntime,
      mClient,
      mMetrics,
      { [this](Heartbeat& aHeartbeat) { FillHeartbeat(aHeartbeat); },
        [this](std::uint64_t aSequence, Instant aNow) {
          mTasks.HeartbeatSent(aSequence, aNow);
        },
        [this](std::uint64_t aSequence, const HeartbeatReply& aReply) {
          ApplyReply(aSequence, aReply);
        } })
  , mProbe(mSettings, aRuntime, mClient, [this](bool) {
    Update();
    mHeartbeats.SendNow();
  })
{
  AddMethods();
  AddStateSources();
  AddGauges();
}

absl::StatusOr<std::unique_ptr<Agent>> Agent::Start(AgentSettings aSettings,
                                                    net::FiberRuntime& aRuntime)
{
  std::unique_ptr<Agent> agent(new Agent(std::move(aSettings), aRuntime));
  auto server =
    net::HttpServer::Start(aRuntime,
                           agent->mSettings.mListen,
                           [self = agent.get()](net::HttpRequest& aRequest) {
                             return self->Handle(aRequest);
                           });
  if (!server.ok()) {
    return server.status();
  }
  agent->mServer = *std::move(server);
  agent->mEndpoint = agent->mServer->ListeningEndpoint();
  agent->mTasks.Start();
  agent->mProbe.Start();
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
  mState.Add("heartbeats", [this] { return mHeartbeats.StateJson(); });
}

void Agent::AddGauges()
{
  mMetrics.SampledGauge("agent_slots_in_use", "Slots in use", [this] {
    return static_cast<double>(mForwarder.Load().mInUse);
  });
  mMetrics.SampledGauge("agent_requests_waiting", "Waiting for a slot", [this] {
    return static_cast<double>(mForwarder.Load().mWaiting);
  });
  mMetrics.SampledGauge(
    "agent_configuration_revision", "Newest configuration applied", [this] {
      return static_cast<double>(mConfiguration.load());
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
  object["configuration"] = Json::Int64{ mConfiguration.load() };
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

/// Derives the state from what is known, and opens or closes the door.
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
  aHeartbeat.mConfiguration = mConfiguration;
  mTasks.Fill(aHeartbeat);
}

void Agent::ApplyReply(std::uint64_t aSequence, const HeartbeatReply& aReply)
{
  ApplyConfiguration(aReply);
  mTasks.ApplyReply(aSequence, aReply);
}

void Agent::ApplyConfiguration(const HeartbeatReply& aReply)
{
  const std::lock_guard lock(mConfigurationMutex);
  const Revision applied = mConfiguration;
  // What this agent holds is complete up to `applied`, so that an older
  // revision in a late answer can only be one that was replaced or removed.
  if (aReply.mConfiguration <= applied) {
    return;
  }
  for (const CustomerId& customer : aReply.mRemoved) {
    mTasks.RemoveContract(customer);
  }
  for (const Contract& contract : aReply.mContracts) {
    if (contract.mRevision > applied) {
      mTasks.ApplyContract(contract);
    }
  }
  mConfiguration = aReply.mConfiguration;
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
  const bool isTold = mHeartbeats.Told(mDrainSequence) && mTasks.Empty();
  const bool isAlone =
    mHeartbeats.LastAnswer() + kAlone <= MonotonicNow() && mTasks.AllEnded();
  return isIdle && (isTold || isAlone);
}

Agent::~Agent()
{
  mServer.reset();
  mHeartbeats.Stop();
  mProbe.Stop();
  mTasks.Stop();
}

} // namespace foxtailbarrow
