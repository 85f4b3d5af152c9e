#include "src/core/placement/QuotaTracker.h"

#include <algorithm>

namespace foxtailbarrow {

namespace {

double Fraction(std::int64_t aHeld, std::int64_t aTotal)
{
  return aTotal > 0 ? static_cast<double>(aHeld) / static_cast<double>(aTotal)
                    : 0.0;
}

template<typename Map, typename Key>
void RemoveUsage(Map& aMap, const Key& aKey, const Resources& aSize, int aJobs)
{
  const auto found = aMap.find(aKey);
  if (found == aMap.end()) {
    return;
  }
  found->second.mHeld -= aSize;
  found->second.mJobs -= aJobs;
  if (found->second.mJobs <= 0) {
    aMap.erase(found);
  }
}

} // namespace

void QuotaTracker::Apply(const Contract& aContract)
{
  const TeamId before = TeamOf(aContract.mCustomer);
  mContracts[aContract.mCustomer] = aContract;
  MoveUsage(before, aContract.mTeam, aContract.mCustomer);
}

void QuotaTracker::Remove(const CustomerId& aCustomer)
{
  const TeamId before = TeamOf(aCustomer);
  mContracts.erase(aCustomer);
  MoveUsage(before, TeamOf(aCustomer), aCustomer);
}

void QuotaTracker::MoveUsage(const TeamId& aFrom,
                             const TeamId& aTo,
                             const CustomerId& aCustomer)
{
  const QuotaUsage usage = UsageOf(aCustomer);
  if (aFrom == aTo || usage.mJobs == 0) {
    return;
  }
  RemoveUsage(mTeams, aFrom, usage.mHeld, usage.mJobs);
  mTeams[aTo].mHeld += usage.mHeld;
  mTeams[aTo].mJobs += usage.mJobs;
}

const Contract* QuotaTracker::Find(const CustomerId& aCustomer) const
{
  const auto found = mContracts.find(aCustomer);
  return found == mContracts.end() ? nullptr : &found->second;
}

Reason QuotaTracker::Check(const CustomerId& aCustomer,
                           const Resources& aSize) const
{
  const Contract* contract = Find(aCustomer);
  if (contract == nullptr) {
    return Reason::NoContract;
  }
  const QuotaUsage usage = UsageOf(aCustomer);
  const bool within = usage.mJobs < contract->mBatch.mMaxRunningJobs &&
                      (usage.mHeld + aSize).FitsIn(contract->mBatch.mTotal);
  return within ? Reason::None : Reason::WaitingForQuota;
}

bool QuotaTracker::CanEverRun(const CustomerId& aCustomer,
                              const Resources& aSize) const
{
  const Contract* contract = Find(aCustomer);
  return contract == nullptr || aSize.FitsIn(contract->mBatch.mTotal);
}

void QuotaTracker::Add(const CustomerId& aCustomer, const Resources& aSize)
{
  QuotaUsage& customer = mCustomers[aCustomer];
  customer.mHeld += aSize;
  ++customer.mJobs;
  QuotaUsage& team = mTeams[TeamOf(aCustomer)];
  team.mHeld += aSize;
  ++team.mJobs;
}

void QuotaTracker::Subtract(const CustomerId& aCustomer, const Resources& aSize)
{
  RemoveUsage(mCustomers, aCustomer, aSize, 1);
  RemoveUsage(mTeams, TeamOf(aCustomer), aSize, 1);
}

QuotaUsage QuotaTracker::UsageOf(const CustomerId& aCustomer) const
{
  const auto found = mCustomers.find(aCustomer);
  return found == mCustomers.end() ? QuotaUsage{} : found->second;
}

double QuotaTracker::DominantShare(const CustomerId& aCustomer,
                                   const Resources& aTotal) const
{
  const auto found = mTeams.find(TeamOf(aCustomer));
  if (found == mTeams.end()) {
    return 0.0;
  }
  const Resources& held = found->second.mHeld;
  return std::max({ Fraction(held.mMillicores, aTotal.mMillicores),
                    Fraction(held.mMemoryMb, aTotal.mMemoryMb),
                    Fraction(held.mAccelerators, aTotal.mAccelerators) });
}

const TeamId& QuotaTracker::TeamOf(const CustomerId& aCustomer) const
{
  static const TeamId sNoTeam;
  const Contract* contract = Find(aCustomer);
  return contract == nullptr ? sNoTeam : contract->mTeam;
}

} // namespace foxtailbarrow
