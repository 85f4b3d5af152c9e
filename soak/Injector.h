#pragma once

#include <cstdint>
#include <string>

#include "soak/FaultPlan.h"
#include "soak/Fleet.h"

namespace foxtailbarrow::soak {

/// Injects the faults of a plan. Runs on the single thread of the runtime.
class Injector
{
public:
  /// `aKeptIdPercent`: of the restarts of workers, those under the id before.
  Injector(net::FiberRuntime& aRuntime,
           Fleet& aFleet,
           PromiseChecker& aChecker,
           std::int64_t aKeptIdPercent);

  /// Returns after the last fault has begun; each ends in its own fiber.
  void InjectAll(const std::vector<Fault>& aFaults);

  /// Ends all faults and starts every process that is not running.
  void EndAllFaults();

private:
  void Inject(const Fault& aFault);
  void InjectProcessFault(const Fault& aFault, Child& aChild, int aSignal);
  void InjectStoreFault(const Fault& aFault);
  void InjectWorkerFault(const Fault& aFault);
  void InjectShrinking(const Fault& aFault);
  void InjectCordon(const Fault& aFault);
  void RemoveCordon(const std::string& aFailureDomain);
  void InjectLinkFault(const Fault& aFault, LinkProxy& aLink);

  void RestartAtOnce(const Fault& aFault);
  void RestartWorker(unsigned aWorker, std::uint32_t aVariant);

  net::FiberRuntime& mRuntime;
  Fleet& mFleet;
  PromiseChecker& mChecker;
  std::int64_t mKeptIdPercent;
  bool mAllEnded = false;
};

} // namespace foxtailbarrow::soak
