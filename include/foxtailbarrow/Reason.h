#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace foxtailbarrow {

/// Cause of a decision. Recorded with each refusal, placement, eviction,
/// ejection and quarantine; shown in the state dump and by `jobs explain`.
enum class Reason : std::uint8_t
{
  None,
  // Requests.
  NoContract,
  RateLimit,
  ConcurrencyLimit,
  NoBackendServer,
  BackendServersBusy,
  DeadlineTooShort,
  Draining,
  Overload,
  RetryBudgetSpent,
  DuplicateRequest,
  KeyHolderLost, ///< An agent that may know the idempotency key is lost.
  // Jobs.
  WaitingForCapacity,
  WaitingForQuota,
  WaitingForStore,
  WaitingForLease,
  LargerThanAnyWorker,
  FailsEverywhere,
  CapacityTaken,
  StaleEpoch,
  LeaseLapsed,
  EvictedForUrgent,
  EvictedForLatency,
  EvictedForDrain,
  CancelRequested,
  // Backend servers and workers.
  EjectedForErrors,
  EjectedForLatency,
  Quarantined,
  CopyLimit,
};

/// Text on the wire and in dumps, for example "rate-limit".
std::string_view ToString(Reason aReason);

/// Reverse of ToString(); nullopt for any other text.
std::optional<Reason> ParseReason(std::string_view aText);

} // namespace foxtailbarrow
