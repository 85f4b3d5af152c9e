#include "soak/Fleet.h"

#include <utility>

#include <unistd.h>

#include <json/value.h>

#include "src/core/message/Json.h"

namespace foxtailbarrow::soak {

namespace {

constexpr std::uint16_t kCallerPort = 7000;
constexpr std::uint16_t kReadyPort = 7001;
constexpr std::uint16_t kPeerPort = 7002;
constexpr std::uint16_t kControlPort = 7003;
constexpr std::uint16_t kWorkerPort = 7004;
constexpr std::uint16_t kStorePort = 7010;

/// Last octets of the addresses. The link to a host has the host's octet plus
/// kLinkOffset.
constexpr unsigned kFirstScheduler = 1;
constexpr unsigned kFirstAgent = 10;
constexpr unsigned kLinkOffset = 100;
constexpr unsigned kFirstStoreLink = 60;
constexpr unsigned kStoreHost = 250;

/// The loopback network depends on the process id, so that concurrent soaks do
/// not collide.
constexpr unsigned kFirstNetwork = 16;
constexpr unsigned kNetworks = 200;

/// The slowest worker clock that the platform allows.
constexpr double kSlowClock = 0.98;
constexpr Duration kThrottleDelay = std::chrono::milliseconds(100);

} // namespace

Fleet::Fleet(FleetSettings aSettings)
  : mSettings(std::move(aSettings))
{
  const auto process = static_cast<unsigned>(getpid());
  mNetwork = "127." + std::to_string(kFirstNetwork + process % kNetworks) +
             "." + std::to_string(process / kNetworks % kNetworks) + ".";
}

Endpoint Fleet::EndpointAt(unsigned aHost, std::uint16_t aPort) const
{
  return { mNetwork + std::to_string(aHost), aPort };
}

Endpoint Fleet::CallerEndpoint(unsigned aIndex) const
{
  return EndpointAt(kFirstScheduler + aIndex % mSettings.mSchedulers,
                    kCallerPort);
}

Endpoint Fleet::AgentControl(unsigned aIndex) const
{
  return EndpointAt(kFirstAgent + aIndex % mSettings.mWorkers, kControlPort);
}

std::string Fleet::Seeds() const
{
  std::string seeds;
  for (unsigned i = 0; i < mSettings.mSchedulers; ++i) {
    seeds += (i == 0 ? "" : ",") +
             ToString(EndpointAt(kFirstScheduler + i + kLinkOffset, kPeerPort));
  }
  return seeds;
}

absl::StatusOr<std::unique_ptr<Fleet>> Fleet::Start(net::FiberRuntime& aRuntime,
                                                    FleetSettings aSettings,
                                                    PromiseChecker& aChecker)
{
  std::unique_ptr<Fleet> fleet(new Fleet(std::move(aSettings)));
  absl::Status status = fleet->StartStandIns(aRuntime, aChecker);
  if (status.ok()) {
    status = fleet->AddSchedulers();
  }
  if (status.ok()) {
    status = fleet->AddAgents();
  }
  if (!status.ok()) {
    return status;
  }
  fleet->Configure();
  fleet->StartAll();
  return fleet;
}

absl::Status Fleet::StartStandIns(net::FiberRuntime& aRuntime,
                                  PromiseChecker& aChecker)
{
  auto store = standin::KvService::Start(
    aRuntime, EndpointAt(kStoreHost, kStorePort), mSettings.mSeed);
  if (!store.ok()) {
    return store.status();
  }
  mStore = *std::move(store);
  for (unsigned i = 0; i < mSettings.mWorkers; ++i) {
    standin::TaskWorkerSettings settings;
    settings.mThrottleDelay = kThrottleDelay;
    settings.mSeed = mSettings.mSeed + i;
    settings.mClockRate = i == 0 ? kSlowClock : 1.0;
    auto worker = standin::TaskWorkerService::Start(
      aRuntime,
      { EndpointAt(kFirstAgent + i, kWorkerPort),
        EndpointAt(kFirstAgent + i, kControlPort),
        "worker" + std::to_string(i),
        "service",
        "rack" + std::to_string(i % 2),
        FailureDomainOf(i) },
      settings,
      mSettings.mSeed + i,
      [this, &aChecker](const std::string& aIncarnation,
                        const standin::RunEvent& aEvent) {
        aChecker.OnRunEvent(aIncarnation, aEvent);
        mRunEventSink(aEvent);
      });
    if (!worker.ok()) {
      return worker.status();
    }
    (*worker)->SetHeartbeatSink(
      [&aChecker](const standin::HeartbeatEvent& aEvent) {
        aChecker.OnHeartbeat(aEvent, MonotonicNow());
      });
    mWorkers.push_back(*std::move(worker));
  }
  return absl::OkStatus();
}

absl::Status Fleet::AddLink(std::vector<std::unique_ptr<LinkProxy>>& aLinks,
                            const Endpoint& aListen,
                            const Endpoint& aServer)
{
  auto link = LinkProxy::Start(aListen, aServer);
  if (!link.ok()) {
    return link.status();
  }
  aLinks.push_back(*std::move(link));
  return absl::OkStatus();
}

absl::Status Fleet::AddSchedulers()
{
  for (unsigned i = 0; i < mSettings.mSchedulers; ++i) {
    const unsigned host = kFirstScheduler + i;
    const Endpoint store = EndpointAt(kFirstStoreLink + host, kStorePort);
    const Endpoint advertised = EndpointAt(host + kLinkOffset, kPeerPort);
    absl::Status status =
      AddLink(mStoreLinks, store, EndpointAt(kStoreHost, kStorePort));
    if (status.ok()) {
      status =
        AddLink(mSchedulerLinks, advertised, EndpointAt(host, kPeerPort));
    }
    if (!status.ok()) {
      return status;
    }
    const std::string name = "scheduler" + std::to_string(i);
    mSchedulers.push_back(std::make_unique<Child>(
      std::vector<std::string>{
        mSettings.mPrograms + "/foxtailbarrow-scheduler",
        "--id=" + name,
        "--listen=" + ToString(EndpointAt(host, kCallerPort)),
        "--ready=" + ToString(EndpointAt(host, kReadyPort)),
        "--peers=" + ToString(EndpointAt(host, kPeerPort)),
        "--advertise=" + ToString(advertised),
        "--store=" + ToString(store),
        "--seeds=" + Seeds() },
      mSettings.mLogs + "/" + name + ".log"));
  }
  return absl::OkStatus();
}

absl::Status Fleet::AddAgents()
{
  for (unsigned i = 0; i < mSettings.mWorkers; ++i) {
    const unsigned host = kFirstAgent + i;
    const Endpoint store = EndpointAt(kFirstStoreLink + host, kStorePort);
    const Endpoint advertised = EndpointAt(host + kLinkOffset, kPeerPort);
    absl::Status status =
      AddLink(mStoreLinks, store, EndpointAt(kStoreHost, kStorePort));
    if (status.ok()) {
      status = AddLink(mAgentLinks, advertised, EndpointAt(host, kPeerPort));
    }
    if (!status.ok()) {
      return status;
    }
    const std::string name = "agent" + std::to_string(i);
    mAgents.push_back(std::make_unique<Child>(
      std::vector<std::string>{
        mSettings.mPrograms + "/foxtailbarrow-taskagent",
        "--id=" + name,
        "--listen=" + ToString(EndpointAt(host, kPeerPort)),
        "--advertise=" + ToString(advertised),
        "--control=" + ToString(EndpointAt(host, kControlPort)),
        "--worker=" + ToString(EndpointAt(host, kWorkerPort)),
        "--store=" + ToString(store),
        "--seeds=" + Seeds() },
      mSettings.mLogs + "/" + name + ".log"));
  }
  return absl::OkStatus();
}

void Fleet::StartAll()
{
  for (const auto& child : mSchedulers) {
    child->Start();
  }
  for (const auto& child : mAgents) {
    child->Start();
  }
}

std::string Fleet::FailureDomainOf(unsigned aWorker)
{
  return "zone" + std::to_string(aWorker % kFailureDomains);
}

void Fleet::SetCordon(const std::string& aFailureDomain, bool aCordoned)
{
  const std::string key = "op/evacuate/" + aFailureDomain;
  if (aCordoned) {
    mStore->Put(key, "{}");
  } else {
    mStore->Remove(key);
  }
}

void Fleet::KillAll()
{
  for (const auto& child : mSchedulers) {
    child->Kill();
  }
  for (const auto& child : mAgents) {
    child->Kill();
  }
}

void Fleet::Configure()
{
  constexpr int kVersionStep = 3;
  constexpr int kAttempts = 3;
  Json::Value route;
  route["Name"] = "queue";
  route["Host"] = "anyhost";
  route["Prefix"] = "/jobs/";
  route["Service"] = "service";
  route["TimeoutMs"] = 3000;
  route["SloMs"] = 1000;
  route["Attempts"] = kAttempts;
  route["Stretch"] = 2.0;
  Json::Value configuration;
  configuration["Version"] = Json::Int64{ mVersion += kVersionStep };
  for (unsigned i = 0; i < mSettings.mSchedulers; ++i) {
    route["Host"] = CallerEndpoint(i).mAddress; // What clients send as Host.
    configuration["Routes"].append(route);
  }
  mStore->Put("op/config", FormatJson(configuration));
}

} // namespace foxtailbarrow::soak
