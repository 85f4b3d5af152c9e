#pragma once

#include "foxtailbarrow/Contract.h"
#include "src/core/contract/ContractLimits.h"
#include "src/core/message/detail/CommonFields.h"

namespace foxtailbarrow::detail {

inline constexpr IdRule kPlainId{ kMaxContractIdBytes, true };

template<typename Visitor, Is<BatchLimits> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Optional("total", aMessage.mTotal);
  aVisitor.Optional("maxRunningJobs",
                    aMessage.mMaxRunningJobs,
                    NumberRule<std::int32_t>{ 0, kMaxRunningJobs });
  aVisitor.Optional(
    "sharePerWorker", aMessage.mSharePerWorker, NumberRule<double>{ 0, 1 });
}

template<typename Visitor, Is<PolicyWeights> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  constexpr NumberRule<double> kRule{ 0, kMaxWeight };
  aVisitor.Optional("tailLatency", aMessage.mTailLatency, kRule);
  aVisitor.Optional("evictions", aMessage.mEvictions, kRule);
}

/// The part that an operator writes.
template<typename Visitor, Is<Contract> Message>
void DocumentFields(Visitor& aVisitor, Message& aMessage)
{
  using Count = NumberRule<std::int32_t>;
  aVisitor.Required("customer", aMessage.mCustomer, kPlainId);
  aVisitor.Required("team", aMessage.mTeam, kPlainId);
  aVisitor.Required("service", aMessage.mService, kPlainId);
  aVisitor.Required("maxCopies", aMessage.mMaxCopies, Count{ 0, kMaxCopies });
  aVisitor.Required(
    "maxConcurrency", aMessage.mMaxConcurrency, Count{ 0, kMaxConcurrency });
  aVisitor.Required("requestsPerSecond",
                    aMessage.mRequestsPerSecond,
                    NumberRule<double>{ 0, kMaxRequestsPerSecond });
  aVisitor.Required("burst", aMessage.mBurst, Count{ 0, kMaxBurst });
  aVisitor.Optional("batch", aMessage.mBatch);
  aVisitor.Optional("weights", aMessage.mWeights);
  aVisitor.Optional("urgentAllowed", aMessage.mUrgentAllowed);
}

/// As sent between processes.
template<typename Visitor, Is<Contract> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  DocumentFields(aVisitor, aMessage);
  aVisitor.Required("revision", aMessage.mRevision);
}

} // namespace foxtailbarrow::detail
