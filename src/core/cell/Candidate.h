#pragma once

#include <cstdint>
#include <tuple>

#include "src/core/cell/CellScheduler.h"
#include "src/core/cell/Prospect.h"

namespace foxtailbarrow::cell {

/// A step with tasks to place, and its place in the queue.
struct CellScheduler::Candidate
{
  bool mLeftover = false;
  std::int32_t mPriority = 0;
  Prospect mProspect = Prospect::OnTime;
  /// Leftover work is short: what has begun is finished first, and then the
  /// smallest job, so that as many as possible are on time.
  bool mWaits = false;
  double mWork = 0;
  Instant mDeadline{};
  TaskRef mFirst; ///< Of the step; the index is 0.

  auto Key() const
  {
    return std::tie(
      mLeftover, mPriority, mProspect, mWaits, mWork, mDeadline, mFirst);
  }
};

} // namespace foxtailbarrow::cell
