#pragma once

#include <cstdint>
#include <tuple>

#include "src/core/cell/CellScheduler.h"
#include "src/core/cell/placing/Timeliness.h"

namespace foxtailbarrow::cell {

/// A step with tasks to place, and its position in the placement order.
struct CellScheduler::Candidate
{
  bool mBestEffort = false;
  std::int32_t mPriority = 0;
  Timeliness mTimeliness = Timeliness::OnTime;
  /// Best-effort work is short: begun jobs come first, then the smallest, so
  /// that as many as possible are on time.
  bool mNotBegun = false;
  double mRemainingWork = 0;
  Instant mDeadline{};
  TaskRef mFirstTask; ///< First task of the step; its index is 0.

  auto Key() const
  {
    return std::tie(mBestEffort,
                    mPriority,
                    mTimeliness,
                    mNotBegun,
                    mRemainingWork,
                    mDeadline,
                    mFirstTask);
  }
};

} // namespace foxtailbarrow::cell
