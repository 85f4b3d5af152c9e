#include "src/core/cell/placing/Timeliness.h"

#include <chrono>

namespace foxtailbarrow::cell {

namespace {

/// A job that takes longer than this many times its allowed time earns nothing.
constexpr int kHopelessFactor = 3;

/// Average part of the remaining chain that is still to run once a job has
/// begun.
constexpr double kBegunShare = 0.5;

} // namespace

Timeliness TimelinessOf(const JobEntry& aJob,
                        const OccurrenceEntry& aOccurrence,
                        bool aBegun,
                        Instant aNow)
{
  const Duration chain = RemainingCriticalPath(aJob.Graph(), aOccurrence);
  const double share = aBegun ? kBegunShare : 1.0;
  const auto left = std::chrono::duration_cast<Duration>(chain * share);
  if (aNow + left <= aJob.mDeadline) {
    return Timeliness::OnTime;
  }
  const Duration allowed = aJob.mDeadline - aJob.mAcceptedAt;
  return aNow + left < aJob.mAcceptedAt + kHopelessFactor * allowed
           ? Timeliness::Late
           : Timeliness::Hopeless;
}

} // namespace foxtailbarrow::cell
