#include "src/core/agent/CapacityLedger.h"

#include <algorithm>
#include <cmath>

namespace foxtailbarrow {

namespace {

bool IsNegative(const Resources& aAmount)
{
  return aAmount.mMillicores < 0 || aAmount.mMemoryMb < 0 ||
         aAmount.mAccelerators < 0;
}

/// The share of the worker's processors in millicores, rounded down.
std::int64_t ShareOf(double aShare, const Resources& aCapacity)
{
  const double share = std::clamp(aShare, 0.0, 1.0);
  return static_cast<std::int64_t>(
    std::floor(share * static_cast<double>(aCapacity.mMillicores)));
}

/// True when `aAmount` fits in what `aTaken` leaves. Subtracts, because a sum
/// of large declared sizes could overflow.
bool FitsInRemaining(const Resources& aAmount,
                     const Resources& aTaken,
                     const Resources& aCapacity)
{
  return aAmount.FitsIn(aCapacity - aTaken);
}

} // namespace

CapacityLedger::CapacityLedger(Resources aService)
  : mService(aService)
{
}

void CapacityLedger::Rebuild(const WorkerView& aView)
{
  mCapacity = aView.mCapacity;
  mReady = true;
  for (const TaskStatus& task : aView.mTasks) {
    if (task.mState == TaskState::Running && !mByTask.contains(task.mKey)) {
      Add(task.mKey, task.mCustomer, task.mReserved);
    }
  }
}

Reason CapacityLedger::Reserve(const TaskKey& aKey,
                               const CustomerId& aCustomer,
                               const Resources& aAmount,
                               double aShare)
{
  if (mByTask.contains(aKey)) {
    return Reason::None;
  }
  const Reason reason = Check(aCustomer, aAmount, aShare);
  if (reason == Reason::None) {
    Add(aKey, aCustomer, aAmount);
  }
  return reason;
}

Reason CapacityLedger::Check(const CustomerId& aCustomer,
                             const Resources& aAmount,
                             double aShare) const
{
  if (!mReady || IsNegative(aAmount)) {
    return Reason::WaitingForCapacity;
  }
  const Contract* const contract = ContractOf(aCustomer);
  const std::int64_t share = ShareOf(
    contract == nullptr ? aShare : contract->mBatch.mSharePerWorker, mCapacity);
  if (aAmount.mMillicores > share - ReservedBy(aCustomer).mMillicores) {
    return Reason::WaitingForQuota;
  }
  return FitsInRemaining(aAmount, Reserved(), mCapacity)
           ? Reason::None
           : Reason::CapacityTaken;
}

void CapacityLedger::Release(const TaskKey& aKey)
{
  const auto task = mByTask.find(aKey);
  if (task == mByTask.end()) {
    return;
  }
  const auto& [customer, amount] = task->second;
  mTasks -= amount;
  if (Resources& left = mByCustomer[customer];
      (left -= amount) == Resources{}) {
    mByCustomer.erase(customer);
  }
  mByTask.erase(task);
}

Reason CapacityLedger::ReserveService(const Resources& aAmount)
{
  if (!mReady || IsNegative(aAmount) ||
      !FitsInRemaining(aAmount, mTasks, mCapacity)) {
    return Reason::CapacityTaken;
  }
  mService = aAmount;
  return Reason::None;
}

void CapacityLedger::ApplyContract(const Contract& aContract)
{
  Contract& held = mContracts[aContract.mCustomer];
  if (aContract.mRevision >= held.mRevision) {
    held = aContract;
  }
}

void CapacityLedger::RemoveContract(const CustomerId& aCustomer)
{
  mContracts.erase(aCustomer);
}

const Contract* CapacityLedger::ContractOf(const CustomerId& aCustomer) const
{
  const auto contract = mContracts.find(aCustomer);
  return contract == mContracts.end() ? nullptr : &contract->second;
}

Resources CapacityLedger::Free() const
{
  const Resources left = mCapacity - Reserved();
  return { std::max<std::int64_t>(0, left.mMillicores),
           std::max<std::int64_t>(0, left.mMemoryMb),
           std::max<std::int64_t>(0, left.mAccelerators) };
}

Resources CapacityLedger::ReservedBy(const CustomerId& aCustomer) const
{
  const auto customer = mByCustomer.find(aCustomer);
  return customer == mByCustomer.end() ? Resources{} : customer->second;
}

void CapacityLedger::Add(const TaskKey& aKey,
                         const CustomerId& aCustomer,
                         const Resources& aAmount)
{
  mByTask.emplace(aKey, Reservation{ aCustomer, aAmount });
  mByCustomer[aCustomer] += aAmount;
  mTasks += aAmount;
}

} // namespace foxtailbarrow
