#include "foxtailbarrow/Reason.h"

#include "src/core/base/EnumText.h"

namespace foxtailbarrow {

namespace {

constexpr EnumText<Reason, 29> kTexts({
  { Reason::None, "none" },
  { Reason::NoContract, "no-contract" },
  { Reason::RateLimit, "rate-limit" },
  { Reason::ConcurrencyLimit, "concurrency-limit" },
  { Reason::NoBackendServer, "no-backend-server" },
  { Reason::BackendServersBusy, "backend-servers-busy" },
  { Reason::DeadlineTooShort, "deadline-too-short" },
  { Reason::Draining, "draining" },
  { Reason::Overload, "overload" },
  { Reason::RetryBudgetSpent, "retry-budget-spent" },
  { Reason::DuplicateRequest, "duplicate-request" },
  { Reason::KeyHolderLost, "key-holder-lost" },
  { Reason::WaitingForCapacity, "waiting-for-capacity" },
  { Reason::WaitingForQuota, "waiting-for-quota" },
  { Reason::WaitingForStore, "waiting-for-store" },
  { Reason::WaitingForLease, "waiting-for-lease" },
  { Reason::LargerThanAnyWorker, "larger-than-any-worker" },
  { Reason::FailsEverywhere, "fails-everywhere" },
  { Reason::CapacityTaken, "capacity-taken" },
  { Reason::StaleEpoch, "stale-epoch" },
  { Reason::LeaseLapsed, "lease-lapsed" },
  { Reason::EvictedForUrgent, "evicted-for-urgent" },
  { Reason::EvictedForLatency, "evicted-for-latency" },
  { Reason::EvictedForDrain, "evicted-for-drain" },
  { Reason::CancelRequested, "cancel-requested" },
  { Reason::EjectedForErrors, "ejected-for-errors" },
  { Reason::EjectedForLatency, "ejected-for-latency" },
  { Reason::Quarantined, "quarantined" },
  { Reason::CopyLimit, "copy-limit" },
});

} // namespace

std::string_view ToString(Reason aReason)
{
  return kTexts.Text(aReason);
}

std::optional<Reason> ParseReason(std::string_view aText)
{
  return kTexts.Parse(aText);
}

} // namespace foxtailbarrow
