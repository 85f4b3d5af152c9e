#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"

#include "foxtailbarrow/Contract.h"
#include "src/core/message/FieldProblem.h"

/// The JSON document of one customer's contract, written by an operator and
/// kept in the store. Without the revision, which the store assigns.
namespace foxtailbarrow {

/// Every problem of `aContract`; empty if it is valid. Checks each field's
/// range (ContractLimits.h) and combinations of fields.
FieldProblems CheckContract(const Contract& aContract);

/// Parses and checks a document of at most 64 KiB. InvalidArgument lists every
/// problem with its field, the value found and the allowed values. The revision
/// of the result is 0.
absl::StatusOr<Contract> ParseContract(std::string_view aJson);

/// Formats a contract as an indented document without its revision. The inverse
/// of ParseContract().
std::string FormatContract(const Contract& aContract);

} // namespace foxtailbarrow
