#pragma once

#include "soak/FaultPlan.h"
#include "soak/Fleet.h"

namespace foxtailbarrow::soak {

/// Brings about the faults of a plan. Runs on the runtime's one thread.
class Injector
{
public:
  Injector(net::FiberRuntime& aRuntime, Fleet& aFleet);

  /// Returns after the last fault has begun; each ends in a fiber of its own.
  void Play(const std::vector<Fault>& aFaults);

  /// Takes all faults back and starts every process that does not run.
  void Heal();

private:
  void Bring(const Fault& aFault);
  void BringProcess(const Fault& aFault, Child& aChild, int aSignal);
  void BringStore(const Fault& aFault);
  void BringWorker(const Fault& aFault);
  void BringShrinkage(const Fault& aFault);
  void BringLink(const Fault& aFault, LinkProxy& aLink);

  net::FiberRuntime& mRuntime;
  Fleet& mFleet;
  bool mHealed = false;
};

} // namespace foxtailbarrow::soak
