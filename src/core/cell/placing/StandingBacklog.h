#pragma once

#include <cstdint>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::cell {

/// Standing tasks that are about to start but have not been placed: their
/// starts are saved first, or a refusal was recent.
///
/// Load pattern: all workers lose power. When they are back, best-effort tasks
/// can start at once, while hundreds of standing tasks wait for their records.
/// Best-effort tasks that are placed without regard to those exceed the latency
/// budgets as soon as the standing tasks arrive, and most of them are throttled
/// to a standstill for about ten seconds.
///
/// Decision: best-effort tasks wait while the backlog is more than a small
/// share of the cell. A standing task counts for a limited time only, since it
/// may lack a worker that it fits. Pure.
class StandingBacklog
{
public:
  /// `aMaxShare`: of the cell's processors. `aMaxWait`: for how long a waiting
  /// task counts.
  StandingBacklog(double aMaxShare, Duration aMaxWait)
    : mMaxShare(aMaxShare)
    , mMaxWait(aMaxWait)
  {
  }

  void Add(std::int64_t aMillicores, Duration aWaited)
  {
    mMillicores += aWaited < mMaxWait ? aMillicores : 0;
  }

  std::int64_t Millicores() const { return mMillicores; }

  bool HoldsBestEffort(std::int64_t aCellMillicores) const
  {
    return static_cast<double>(mMillicores) >
           mMaxShare * static_cast<double>(aCellMillicores);
  }

private:
  double mMaxShare;
  Duration mMaxWait;
  std::int64_t mMillicores = 0;
};

} // namespace foxtailbarrow::cell
