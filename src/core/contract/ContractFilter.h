#pragma once

#include "absl/container/flat_hash_set.h"

#include "foxtailbarrow/Contract.h"
#include "foxtailbarrow/Messages.h"

namespace foxtailbarrow {

/// Selects the contracts relevant to an agent: those of its own service, whose
/// requests it admits, and those of the customers with tasks on its worker.
/// With 6,100 workers and thousands of contracts, this limits an agent's copy,
/// and the bytes sent after a restart, to a small part of all.
struct ContractFilter
{
  ServiceId mService;
  absl::flat_hash_set<CustomerId> mTaskCustomers;

  bool Passes(const Contract& aContract) const
  {
    return aContract.mService == mService ||
           mTaskCustomers.contains(aContract.mCustomer);
  }
};

/// The filter that both sides of a heartbeat use for its reply, so that their
/// digests cover the same set.
ContractFilter FilterFor(const Heartbeat& aHeartbeat);

} // namespace foxtailbarrow
