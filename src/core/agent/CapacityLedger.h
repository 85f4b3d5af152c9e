#pragma once

#include <cstddef>

#include "absl/container/flat_hash_map.h"

#include "foxtailbarrow/Contract.h"
#include "foxtailbarrow/Reason.h"
#include "foxtailbarrow/Resources.h"
#include "foxtailbarrow/Worker.h"

namespace foxtailbarrow {

/// Tracks all reservations on one worker and decides on new ones.
///
/// Input: the worker's view (its capacity and tasks), the reservation of the
/// colocated service, contracts, and reservation requests.
/// Guarantees that nothing is granted before Rebuild(), that the granted
/// reservations never exceed the worker's processors, memory or accelerators,
/// and that a customer's tasks never exceed the contract's share of the
/// worker's processors. When a worker shrinks or reports more running tasks
/// than fit, requests are refused until enough tasks have ended; free capacity
/// is never negative.
/// Not thread-safe.
class CapacityLedger
{
public:
  explicit CapacityLedger(Resources aService);

  /// Applies the capacity and the running tasks that the worker reports. May be
  /// called again with later views; existing reservations are kept.
  void Rebuild(const WorkerView& aView);

  /// False until the first Rebuild().
  bool Ready() const { return mReady; }

  /// Returns None when granted; a key with a reservation is granted again.
  /// `aShare` is the customer's share of the worker's processors if the ledger
  /// has no contract of the customer: an agent receives contracts only for its
  /// service and its tasks.
  Reason Reserve(const TaskKey& aKey,
                 const CustomerId& aCustomer,
                 const Resources& aAmount,
                 double aShare);

  /// As Reserve(), but without reserving.
  Reason Check(const CustomerId& aCustomer,
               const Resources& aAmount,
               double aShare) const;

  void Release(const TaskKey& aKey);

  /// Changes the service's reservation; CapacityTaken when it does not fit.
  Reason ReserveService(const Resources& aAmount);

  /// Replaces the customer's contract unless the current one is newer. Tasks
  /// beyond a lowered limit keep their reservations.
  void ApplyContract(const Contract& aContract);
  void RemoveContract(const CustomerId& aCustomer);

  /// The customer's contract; nullptr when there is none.
  const Contract* ContractOf(const CustomerId& aCustomer) const;
  const absl::flat_hash_map<CustomerId, Contract>& Contracts() const
  {
    return mContracts;
  }

  const Resources& Capacity() const { return mCapacity; }
  const Resources& Service() const { return mService; }
  Resources Reserved() const { return mService + mTasks; }

  /// Unreserved capacity; no field is negative.
  Resources Free() const;

  /// Sum over the customer's tasks.
  Resources ReservedBy(const CustomerId& aCustomer) const;

  std::size_t Tasks() const { return mByTask.size(); }

private:
  struct Reservation
  {
    CustomerId mCustomer;
    Resources mAmount;
  };

  void Add(const TaskKey& aKey,
           const CustomerId& aCustomer,
           const Resources& aAmount);

  bool mReady = false;
  Resources mCapacity;
  Resources mService;
  Resources mTasks; ///< Sum over mByTask.
  absl::flat_hash_map<TaskKey, Reservation> mByTask;
  absl::flat_hash_map<CustomerId, Resources> mByCustomer;
  absl::flat_hash_map<CustomerId, Contract> mContracts;
};

} // namespace foxtailbarrow
