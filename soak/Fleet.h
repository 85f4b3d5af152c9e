#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"

#include "soak/Child.h"
#include "soak/LinkProxy.h"
#include "soak/PromiseChecker.h"
#include "src/net/FiberRuntime.h"
#include "standins/kv/KvService.h"
#include "standins/taskworker/TaskWorkerService.h"

namespace foxtailbarrow::soak {

struct FleetSettings
{
  std::string mPrograms; ///< Folder of the programs under test.
  std::string mLogs;     ///< Folder for their output.
  unsigned mSeed = 1;
  unsigned mSchedulers = 3;
  unsigned mWorkers = 5;
};

/// The system under test: its programs as child processes, the platform's
/// stand-ins in this process, and a fault-injecting link between any two of
/// them. All methods run on the single thread of the runtime.
class Fleet
{
public:
  static absl::StatusOr<std::unique_ptr<Fleet>> Start(
    net::FiberRuntime& aRuntime,
    FleetSettings aSettings,
    PromiseChecker& aChecker);

  Child& Scheduler(unsigned aIndex) { return *ItemAt(mSchedulers, aIndex); }
  Child& Agent(unsigned aIndex) { return *ItemAt(mAgents, aIndex); }
  standin::TaskWorkerService& Worker(unsigned aIndex)
  {
    return *ItemAt(mWorkers, aIndex);
  }
  standin::KvService& Store() { return *mStore; }
  LinkProxy& StoreLink(unsigned aIndex) { return *ItemAt(mStoreLinks, aIndex); }
  LinkProxy& SchedulerLink(unsigned aIndex)
  {
    return *ItemAt(mSchedulerLinks, aIndex);
  }
  LinkProxy& AgentLink(unsigned aIndex) { return *ItemAt(mAgentLinks, aIndex); }

  using RunEventSink = std::function<void(const standin::RunEvent&)>;

  /// Called for the run events of all workers, after the checker.
  void SetRunEventSink(RunEventSink aSink) { mRunEventSink = std::move(aSink); }

  /// Starts every process that is not running.
  void StartAll();
  void KillAll();
  /// Writes the next version of the operator's configuration.
  void Configure();

  static constexpr unsigned kFailureDomains = 3;
  static std::string FailureDomainOf(unsigned aWorker);
  /// Sets or removes the operator's cordon of a failure domain.
  void SetCordon(const std::string& aFailureDomain, bool aCordoned);

  /// Address of the scheduler for callers.
  Endpoint CallerEndpoint(unsigned aIndex) const;
  /// Address of the agent for heartbeats of its worker.
  Endpoint AgentControl(unsigned aIndex) const;
  unsigned Schedulers() const { return mSettings.mSchedulers; }

private:
  Fleet(FleetSettings aSettings);

  template<typename Item>
  static Item& ItemAt(std::vector<Item>& aItems, unsigned aIndex)
  {
    return aItems[aIndex % aItems.size()];
  }

  absl::Status StartStandIns(net::FiberRuntime& aRuntime,
                             PromiseChecker& aChecker);
  absl::Status AddLink(std::vector<std::unique_ptr<LinkProxy>>& aLinks,
                       const Endpoint& aListen,
                       const Endpoint& aServer);
  absl::Status AddSchedulers();
  absl::Status AddAgents();
  Endpoint EndpointAt(unsigned aHost, std::uint16_t aPort) const;
  std::string Seeds() const;

  FleetSettings mSettings;
  std::string mNetwork; ///< First three octets of all addresses.
  std::int64_t mVersion = 0;
  RunEventSink mRunEventSink = [](const standin::RunEvent&) {};
  std::unique_ptr<standin::KvService> mStore;
  std::vector<std::unique_ptr<standin::TaskWorkerService>> mWorkers;
  std::vector<std::unique_ptr<LinkProxy>> mStoreLinks;
  std::vector<std::unique_ptr<LinkProxy>> mSchedulerLinks;
  std::vector<std::unique_ptr<LinkProxy>> mAgentLinks;
  std::vector<std::unique_ptr<Child>> mSchedulers;
  std::vector<std::unique_ptr<Child>> mAgents;
};

} // namespace foxtailbarrow::soak
