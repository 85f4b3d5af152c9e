#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"

#include "foxtailbarrow/Contract.h"
#include "src/core/message/FieldProblem.h"

/// The text that an operator writes for one customer and that the store holds.
/// It has no revision: that is the store's.
namespace foxtailbarrow {

/// Every way in which `aContract` breaks the rules; empty when it is
/// acceptable. Checks each field's range (ContractLimits.h) and what the
/// fields mean together.
FieldProblems CheckContract(const Contract& aContract);

/// Reads and checks a document of at most 64 KiB. InvalidArgument lists every
/// problem with its field, the value found and what is allowed. The revision
/// of the result is 0.
absl::StatusOr<Contract> ParseContract(std::string_view aJson);

/// The document of a contract, indented, without its revision. ParseContract()
/// gives the same contract back.
std::string FormatContract(const Contract& aContract);

} // namespace foxtailbarrow
