#include "src/core/cell/JobGraph.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace foxtailbarrow::cell {

namespace {

bool IsDeclaredTime(Duration aTime)
{
  return aTime >= Duration::zero() && aTime <= kMaxDeclaredTime;
}

absl::Status CheckStep(const StepSpec& aStep, std::size_t aNumber)
{
  const auto isEarlier = [&](std::int32_t aBefore) {
    return aBefore >= 0 && static_cast<std::size_t>(aBefore) < aNumber;
  };
  if (!std::ranges::all_of(aStep.mAfter, isEarlier)) {
    return absl::InvalidArgumentError(
      absl::StrCat("step ", aNumber, " does not depend on earlier steps only"));
  }
  if (!IsDeclaredTime(aStep.mEstimate) ||
      !IsDeclaredTime(aStep.mLatencyTarget)) {
    return absl::InvalidArgumentError(
      absl::StrCat("step ", aNumber, " has an estimate or target over a year"));
  }
  return absl::OkStatus();
}

} // namespace

absl::Status CheckGraph(const JobGraph& aGraph)
{
  if (aGraph.mSteps.empty() || aGraph.mSteps.size() > kMaxSteps) {
    return absl::InvalidArgumentError(absl::StrCat(
      "found ", aGraph.mSteps.size(), " steps, allowed 1..", kMaxSteps));
  }
  for (std::size_t step = 0; step < aGraph.mSteps.size(); ++step) {
    if (absl::Status status = CheckStep(aGraph.mSteps[step], step);
        !status.ok()) {
      return status;
    }
  }
  constexpr std::int64_t kMaxIntervalMs =
    kMaxDeclaredTime / std::chrono::milliseconds(1);
  const Recurrence& recurrence = aGraph.mRecurrence;
  if (recurrence.mCount < 0 || recurrence.mCount > kMaxOccurrences ||
      recurrence.mIntervalMs < 0 || recurrence.mIntervalMs > kMaxIntervalMs) {
    return absl::InvalidArgumentError("the recurrence is out of bounds");
  }
  return absl::OkStatus();
}

} // namespace foxtailbarrow::cell
