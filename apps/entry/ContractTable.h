#pragma once

#include <memory>

#include "absl/container/flat_hash_map.h"

#include "foxtailbarrow/Contract.h"

namespace foxtailbarrow::entry {

/// The contracts in force, as the request threads see them. Immutable.
struct ContractTable
{
  absl::flat_hash_map<CustomerId, std::shared_ptr<const Contract>> mContracts;

  /// Null when the customer has no contract.
  const Contract* Find(const CustomerId& aCustomer) const
  {
    const auto found = mContracts.find(aCustomer);
    return found == mContracts.end() ? nullptr : found->second.get();
  }
};

} // namespace foxtailbarrow::entry
