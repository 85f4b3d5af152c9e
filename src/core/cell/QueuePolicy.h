#pragma once

#include <cstdint>
#include <optional>

#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Time.h"
#include "src/core/cell/JobGraph.h"
#include "src/core/cell/PlacementAdvice.h"

namespace foxtailbarrow::cell {

/// Operator's settings of one queue, as of the newest configuration.
struct QueuePolicy
{
  QueueId mQueue;
  ServiceId mService;         ///< Whose workers run the tasks.
  std::int32_t mPriority = 0; ///< 0 goes first.
  std::int32_t mAttempts = 1; ///< Failed runs of a task until the job fails.
  double mStretch = 1.0;      ///< Of the longest chain of estimates.
  Duration mAllowance{};      ///< Added to the stretched chain.
  std::optional<AdvicePolicy> mAdvice; ///< Another service chooses workers.
  bool mWorkersGuard = false;          ///< Workers refuse what does not fit.

  bool operator==(const QueuePolicy&) const = default;
};

} // namespace foxtailbarrow::cell
