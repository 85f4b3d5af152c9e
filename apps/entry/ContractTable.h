#pragma once

#include <memory>

#include "absl/container/flat_hash_map.h"

#include "foxtailbarrow/Contract.h"
#include "src/core/admission/CustomerAdmission.h"

namespace foxtailbarrow::entry {

/// A customer as the request threads see it. The admission object outlives
/// changes of the contract, since it counts what is in progress.
struct CustomerState
{
  std::shared_ptr<const Contract> mContract;
  std::shared_ptr<CustomerAdmission> mAdmission;
};

/// The contracts in force, as the request threads see them. Immutable but for
/// the admission counts.
struct ContractTable
{
  /// Revision of the store at which it was complete; 0 = not read yet.
  Revision mAsOf = 0;
  absl::flat_hash_map<CustomerId, CustomerState> mCustomers;

  /// Null when the customer has no contract.
  const CustomerState* Find(const CustomerId& aCustomer) const
  {
    const auto found = mCustomers.find(aCustomer);
    return found == mCustomers.end() ? nullptr : &found->second;
  }
};

} // namespace foxtailbarrow::entry
