#include "src/core/message/FieldProblem.h"

#include <algorithm>
#include <cstddef>

namespace foxtailbarrow {

namespace {

/// Longer lists are truncated, so that a malicious message cannot flood the
/// log.
constexpr std::size_t kMaxListed = 32;

} // namespace

std::string ToString(const FieldProblem& aProblem)
{
  return aProblem.mField + ": found " + aProblem.mFound + ", allowed " +
         aProblem.mAllowed;
}

absl::Status ToStatus(const FieldProblems& aProblems)
{
  if (aProblems.empty()) {
    return absl::OkStatus();
  }
  std::string text;
  const std::size_t listed = std::min(aProblems.size(), kMaxListed);
  for (std::size_t i = 0; i < listed; ++i) {
    text += (i == 0 ? "" : "; ") + ToString(aProblems[i]);
  }
  if (const std::size_t more = aProblems.size() - listed; more > 0) {
    text += "; and " + std::to_string(more) + " more";
  }
  return absl::InvalidArgumentError(text);
}

} // namespace foxtailbarrow
