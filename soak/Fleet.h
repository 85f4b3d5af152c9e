#pragma once

#include <memory>
#include <string>
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

/// The system under test: its programs as processes, the stand-ins of the
/// platform in this one, and a link that can be harmed between any two of them.
/// All methods run on the runtime's one thread.
class Fleet
{
public:
  static absl::StatusOr<std::unique_ptr<Fleet>> Start(
    net::FiberRuntime& aRuntime,
    FleetSettings aSettings,
    PromiseChecker& aChecker);

  Child& Scheduler(unsigned aIndex) { return *Of(mSchedulers, aIndex); }
  Child& Agent(unsigned aIndex) { return *Of(mAgents, aIndex); }
  standin::TaskWorkerService& Worker(unsigned aIndex)
  {
    return *Of(mWorkers, aIndex);
  }
  standin::KvService& Store() { return *mStore; }
  LinkProxy& StoreLink(unsigned aIndex) { return *Of(mStoreLinks, aIndex); }
  LinkProxy& SchedulerLink(unsigned aIndex)
  {
    return *Of(mSchedulerLinks, aIndex);
  }
  LinkProxy& AgentLink(unsigned aIndex) { return *Of(mAgentLinks, aIndex); }

  /// Every process is started if it does not run.
  void StartAll();
  void KillAll();
  /// Writes the next version of the operator's configuration.
  void Configure();

  /// Where callers reach the scheduler.
  Endpoint CallerEndpoint(unsigned aIndex) const;
  /// Where the agent takes heartbeats.
  Endpoint AgentControl(unsigned aIndex) const;
  unsigned Schedulers() const { return mSettings.mSchedulers; }

private:
  Fleet(FleetSettings aSettings);

  template<typename Item>
  static Item& Of(std::vector<Item>& aItems, unsigned aIndex)
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
  std::string mNetwork; ///< First three numbers of all addresses.
  std::int64_t mVersion = 0;
  std::unique_ptr<standin::KvService> mStore;
  std::vector<std::unique_ptr<standin::TaskWorkerService>> mWorkers;
  std::vector<std::unique_ptr<LinkProxy>> mStoreLinks;
  std::vector<std::unique_ptr<LinkProxy>> mSchedulerLinks;
  std::vector<std::unique_ptr<LinkProxy>> mAgentLinks;
  std::vector<std::unique_ptr<Child>> mSchedulers;
  std::vector<std::unique_ptr<Child>> mAgents;
};

} // namespace foxtailbarrow::soak
