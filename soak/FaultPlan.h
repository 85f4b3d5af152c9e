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
  StoreLink,     ///< Between one process and the store.
  SchedulerLink, ///< To a scheduler, from agents and other schedulers.
  AgentLink,     ///< To an agent, from the owner.
  WorkerCrashes,
  WorkerLeaves,
  WorkerMute,
  WorkerFailsAll,
  WorkerLate,
  Configuration,
  WorkerShrinks, ///< Only in plans that say so.
};

std::string_view ToString(FaultKind aKind);

/// One fault: what, where, when and for how long.
struct Fault
{
  Duration mAt{};
  FaultKind mKind = FaultKind::KillScheduler;
  std::uint32_t mTarget = 0;  ///< Taken modulo what there is of the kind.
  std::uint32_t mVariant = 0; ///< State of a link.
  Duration mFor{};
};

/// Faults in series, by seed; they overlap. The last one ends by `aLength`.
std::vector<Fault> PlanFaults(std::uint32_t aSeed, Duration aLength);
/// Workers that shrink and grow, by seed, beside the faults of any plan.
std::vector<Fault> PlanShrinking(std::uint32_t aSeed, Duration aLength);

} // namespace foxtailbarrow::soak
