#pragma once

#include <memory>

#include "absl/container/flat_hash_map.h"

#include "foxtailbarrow/Contract.h"
#include "src/core/admission/CustomerAdmission.h"

namespace foxtailbarrow::entry {

/// A customer's state on the request threads. The admission object is kept when
/// the contract changes, since it counts the requests in progress.
struct CustomerState
{
  std::shared_ptr<const Contract> mContract;
  std::shared_ptr<CustomerAdmission> mAdmission;
};

/// The contracts in force, for the request threads. Immutable except for the
/// admission counts.
struct ContractTable
{
  /// Store revision that the table reflects; 0 = not read yet.
  Revision mAsOf = 0;
  absl::flat_hash_map<CustomerId, CustomerState> mCustomers;

  /// Null if the customer has no contract.
  const CustomerState* Find(const CustomerId& aCustomer) const
  {
    const auto found = mCustomers.find(aCustomer);
    return found == mCustomers.end() ? nullptr : &found->second;
  }
};

} // namespace foxtailbarrow::entry
