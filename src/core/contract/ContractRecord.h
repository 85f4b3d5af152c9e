#pragma once

#include <cstddef>
#include <memory>

#include "foxtailbarrow/Contract.h"

namespace foxtailbarrow {

/// The newest known change of one customer's contract. A removal is kept as a
/// record, so that a late older change cannot undo it.
struct ContractRecord
{
  CustomerId mCustomer;
  Revision mRevision = 0;                    ///< Of the newest change known.
  std::shared_ptr<const Contract> mContract; ///< Null: removed.
  std::size_t mBytes = 0;                    ///< Approximate size on the wire.
};

} // namespace foxtailbarrow
