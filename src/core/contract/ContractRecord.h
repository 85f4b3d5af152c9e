#pragma once

#include <cstddef>
#include <memory>

#include "foxtailbarrow/Contract.h"

namespace foxtailbarrow {

/// What a process knows of one customer's contract: its newest change. A
/// removal stays as a record, so that no late older change can undo it.
struct ContractRecord
{
  CustomerId mCustomer;
  Revision mRevision = 0;                    ///< Of the newest change known.
  std::shared_ptr<const Contract> mContract; ///< Null: removed.
  std::size_t mBytes = 0;                    ///< On the wire, about.
};

} // namespace foxtailbarrow
