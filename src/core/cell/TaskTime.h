#pragma once

#include <string>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::cell {

/// How a best-effort task spent its time since its step could start, over all
/// its runs, by its measured processor use.
struct TaskTime
{
  Duration mWaited{};  ///< Without a run.
  Duration mStalled{}; ///< Nearly idle.
  Duration mSlowed{};  ///< Running with a part of its demand.
  Duration mWorked{};  ///< Running with nearly all of it.

  /// Adds one measurement: `aShare` of the demand over `aInterval`.
  void AddRunning(double aShare, Duration aInterval);
};

std::string ToString(const TaskTime& aTime);

} // namespace foxtailbarrow::cell
