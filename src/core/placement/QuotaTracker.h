#pragma once

#include <cstdint>

#include "absl/container/flat_hash_map.h"

#include "foxtailbarrow/Contract.h"
#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Reason.h"
#include "foxtailbarrow/Resources.h"

namespace foxtailbarrow {

/// Resources and number of a customer's or team's running jobs.
struct QuotaUsage
{
  Resources mHeld;
  std::int32_t mJobs = 0;
};

/// Checks customers' running jobs against their contracts and computes the
/// teams' dominant shares. Exact for a customer, since one process owns all its
/// jobs; per process for a team. A job counts from before its assignment is
/// written until it certainly no longer runs.
class QuotaTracker
{
public:
  void Apply(const Contract& aContract);
  void Remove(const CustomerId& aCustomer);
  const Contract* Find(const CustomerId& aCustomer) const;

  /// None if one more job of that size is within the contract, else NoContract
  /// or WaitingForQuota.
  Reason Check(const CustomerId& aCustomer, const Resources& aSize) const;

  /// False if the size alone exceeds the contract's total.
  bool CanEverRun(const CustomerId& aCustomer, const Resources& aSize) const;

  void Add(const CustomerId& aCustomer, const Resources& aSize);
  void Subtract(const CustomerId& aCustomer, const Resources& aSize);

  QuotaUsage UsageOf(const CustomerId& aCustomer) const;

  /// Maximum over the resources of the fraction of `aTotal` held by the
  /// customer's team, 0..1. Teams with a lower share are served first.
  double DominantShare(const CustomerId& aCustomer,
                       const Resources& aTotal) const;

private:
  const TeamId& TeamOf(const CustomerId& aCustomer) const;
  void MoveUsage(const TeamId& aFrom,
                 const TeamId& aTo,
                 const CustomerId& aCustomer);

  absl::flat_hash_map<CustomerId, Contract> mContracts;
  absl::flat_hash_map<CustomerId, QuotaUsage> mCustomers;
  absl::flat_hash_map<TeamId, QuotaUsage> mTeams;
};

} // namespace foxtailbarrow
