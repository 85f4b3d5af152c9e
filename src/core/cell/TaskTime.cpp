#include "src/core/cell/TaskTime.h"

#include "absl/strings/str_cat.h"

namespace foxtailbarrow::cell {

namespace {

/// Shares of the demand: below the first a task counts as stalled, below the
/// second as slowed.
constexpr double kStalledBelow = 0.3;
constexpr double kSlowedBelow = 0.8;

} // namespace

void TaskTime::AddRunning(double aShare, Duration aInterval)
{
  if (aShare < kStalledBelow) {
    mStalled += aInterval;
  } else if (aShare < kSlowedBelow) {
    mSlowed += aInterval;
  } else {
    mWorked += aInterval;
  }
}

std::string ToString(const TaskTime& aTime)
{
  return absl::StrCat("waited=",
                      WholeMilliseconds(aTime.mWaited),
                      " stalled=",
                      WholeMilliseconds(aTime.mStalled),
                      " slowed=",
                      WholeMilliseconds(aTime.mSlowed),
                      " worked=",
                      WholeMilliseconds(aTime.mWorked));
}

} // namespace foxtailbarrow::cell
