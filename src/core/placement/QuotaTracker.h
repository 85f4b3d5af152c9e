#pragma once

#include <cstdint>

#include "absl/container/flat_hash_map.h"

#include "foxtailbarrow/Contract.h"
#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Reason.h"
#include "foxtailbarrow/Resources.h"

namespace foxtailbarrow {

/// What a customer's or team's running jobs hold.
struct QuotaUsage
{
  Resources mHeld;
  std::int32_t mJobs = 0;
};

/// Holds every customer's running jobs against its contract, and tells which
/// team has had least. Exact for a customer, since one process owns all its
/// jobs; per process for a team. A job counts from before its assignment is
/// written until it certainly runs no more.
class QuotaTracker
{
public:
  void Apply(const Contract& aContract);
  void Remove(const CustomerId& aCustomer);
  const Contract* Find(const CustomerId& aCustomer) const;

  /// None: one more job of that size is within the contract. Else NoContract
  /// or WaitingForQuota.
  Reason Check(const CustomerId& aCustomer, const Resources& aSize) const;

  /// False when the size alone exceeds the contract's total.
  bool CanEverRun(const CustomerId& aCustomer, const Resources& aSize) const;

  void Add(const CustomerId& aCustomer, const Resources& aSize);
  void Subtract(const CustomerId& aCustomer, const Resources& aSize);

  QuotaUsage UsageOf(const CustomerId& aCustomer) const;

  /// Greatest part of any resource of `aTotal` that the customer's team holds,
  /// 0..1 (dominant share). Teams with less go first.
  double DominantShare(const CustomerId& aCustomer,
                       const Resources& aTotal) const;

private:
  const TeamId& TeamOf(const CustomerId& aCustomer) const;
  void MoveUsage(const TeamId& aFrom,
                 const TeamId& aTo,
                 const CustomerId& aWho);

  absl::flat_hash_map<CustomerId, Contract> mContracts;
  absl::flat_hash_map<CustomerId, QuotaUsage> mCustomers;
  absl::flat_hash_map<TeamId, QuotaUsage> mTeams;
};

} // namespace foxtailbarrow
