#pragma once

#include <cstdint>
#include <optional>

#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Time.h"
#include "src/core/cell/JobGraph.h"
#include "src/core/cell/placing/PlacementAdvice.h"

namespace foxtailbarrow::cell {

/// Operator's settings of one queue, from the newest configuration.
struct QueuePolicy
{
  QueueId mQueue;
  ServiceId mService;         ///< The tasks run on the workers of this service.
  std::int32_t mPriority = 0; ///< 0 is placed first.
  std::int32_t mAttempts = 1; ///< Failed runs of a task until the job fails.
  /// A job is allowed mStretch times its longest chain of estimates, plus
  /// mAllowance.
  double mStretch = 1.0;
  Duration mAllowance{};
  /// Set when another service chooses the workers.
  std::optional<AdvicePolicy> mAdvice;
  bool mWorkersGuard = false; ///< Workers refuse tasks that do not fit.

  bool operator==(const QueuePolicy&) const = default;
};

} // namespace foxtailbarrow::cell
