#pragma once

#include <cstddef>

#include "absl/container/flat_hash_map.h"

#include "foxtailbarrow/Contract.h"
#include "foxtailbarrow/Reason.h"
#include "foxtailbarrow/Resources.h"
#include "foxtailbarrow/Worker.h"

namespace foxtailbarrow {

/// The single authority on what is committed on one worker.
///
/// Inputs: the worker's own view (size and tasks), what the service beside it
/// reserves, contracts, and requests to reserve. Output: granted, or the reason
/// of the refusal.
/// Promises: nothing is granted before Rebuild(); the sum of the reservations
/// that it granted never exceeds the worker's processors, memory or
/// accelerators; a customer's tasks never exceed the contract's share of the
/// worker's processors. A worker that shrinks, or reports more running than it
/// holds, leads to refusals until enough has ended, never to a negative sum.
/// Not safe for use by several threads.
class CapacityLedger
{
public:
  explicit CapacityLedger(Resources aService);

  /// Takes the worker's size and every running task as it reports them. Also
  /// called with later views: tasks that the ledger holds keep their place.
  void Rebuild(const WorkerView& aView);

  /// False until the first Rebuild().
  bool Ready() const { return mReady; }

  /// None when granted. A key that is held already is granted again.
  Reason Reserve(const TaskKey& aKey,
                 const CustomerId& aCustomer,
                 const Resources& aAmount);

  /// As Reserve(), without an effect.
  Reason Check(const CustomerId& aCustomer, const Resources& aAmount) const;

  void Release(const TaskKey& aKey);

  /// Changes the reservation of the service; CapacityTaken when it does not
  /// fit.
  Reason ReserveService(const Resources& aAmount);

  /// Replaces the customer's limits where the contract is newer than the one
  /// held. Tasks that run beyond a lowered limit keep their place.
  void ApplyContract(const Contract& aContract);
  void RemoveContract(const CustomerId& aCustomer);

  const Resources& Capacity() const { return mCapacity; }
  const Resources& Service() const { return mService; }
  Resources Reserved() const { return mService + mTasks; }

  /// What is left; no field is negative.
  Resources Free() const;

  /// Of the customer's tasks.
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
