#pragma once

#include <string>
#include <vector>

#include "absl/status/status.h"

namespace foxtailbarrow {

/// One reason why a document or message was not accepted.
struct FieldProblem
{
  std::string mField;   ///< Path, for example "tasks[3].status.key.job".
  std::string mFound;   ///< The value found, cut to a readable length.
  std::string mAllowed; ///< What would have been accepted.

  bool operator==(const FieldProblem&) const = default;
};

using FieldProblems = std::vector<FieldProblem>;

/// "maxCopies: found -1, allowed integer 0..10000".
std::string ToString(const FieldProblem& aProblem);

/// InvalidArgument that lists the problems, OK when there is none. Carries no
/// Verdict: a request that cannot be read did not run, while a reply that
/// cannot be read says nothing, so only the caller can attach one.
absl::Status ToStatus(const FieldProblems& aProblems);

} // namespace foxtailbarrow
