#pragma once

#include <string>
#include <vector>

#include "absl/status/status.h"

namespace foxtailbarrow {

/// One reason why a document or message was not accepted.
struct FieldProblem
{
  std::string mField;   ///< Path, for example "tasks[3].status.key.job".
  std::string mFound;   ///< The value found, truncated to a readable length.
  std::string mAllowed; ///< What would have been accepted.

  bool operator==(const FieldProblem&) const = default;
};

using FieldProblems = std::vector<FieldProblem>;

/// "maxCopies: found -1, allowed integer 0..10000".
std::string ToString(const FieldProblem& aProblem);

/// InvalidArgument that lists the problems, OK when there is none. Carries no
/// Verdict, which only the caller can attach: a malformed request did not run,
/// while a malformed reply does not show whether its request ran.
absl::Status ToStatus(const FieldProblems& aProblems);

} // namespace foxtailbarrow
