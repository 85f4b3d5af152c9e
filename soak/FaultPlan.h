#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::soak {

enum class FaultKind : std::uint8_t
{
  KillScheduler,
  TermScheduler,
  PauseScheduler,
  KillAgent,
  TermAgent,
  PauseAgent,
  KillAll,
  StoreSilent,
  StoreSilentLeasesPause,
  StoreRefuses,
  StoreSlow,
  StoreLosesAnswers,
  StoreWritesLate,
  StoreForgets,
  StoreLink,     ///< Link of one process to the store.
  SchedulerLink, ///< Link of agents and other schedulers to a scheduler.
  AgentLink,     ///< Link of the owner to an agent.
  WorkerCrashes,
  WorkerLeaves,
  WorkerMute,
  WorkerFailsAll,
  WorkerLate,
  Configuration,
  WorkerShrinks, ///< Only in plans of PlanShrinking().
  Cordon,        ///< Only in plans of PlanCordons().
};

std::string_view ToString(FaultKind aKind);

/// A fault to inject at `mAt` after the start of the plan.
struct Fault
{
  Duration mAt{};
  FaultKind mKind = FaultKind::KillScheduler;
  std::uint32_t mTarget = 0; ///< Modulo the number of targets of the kind.
  /// Selects the state of a link or the size of a worker.
  std::uint32_t mVariant = 0;
  Duration mFor{};
};

/// Random faults, determined by the seed. They may overlap and all end by
/// `aLength`.
std::vector<Fault> PlanFaults(std::uint32_t aSeed, Duration aLength);
/// Random changes of worker capacity, determined by the seed, to combine with
/// PlanFaults().
std::vector<Fault> PlanShrinking(std::uint32_t aSeed, Duration aLength);
/// Random cordons of failure domains, determined by the seed, to combine with
/// PlanFaults(). Most are longer than the system may take to follow them.
std::vector<Fault> PlanCordons(std::uint32_t aSeed, Duration aLength);

} // namespace foxtailbarrow::soak
