#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace foxtailbarrow {

/// Why a decision fell as it did. Each refusal, placement, eviction, ejection
/// and quarantine leaves one; the state dump and `jobs explain` show its text.
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
  KeyHolderLost, ///< An agent that may know the idempotency key is gone.
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
