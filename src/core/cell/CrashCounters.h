#pragma once

#include <cstdint>
#include <map>

#include "src/core/cell/JobGraph.h"

namespace foxtailbarrow::cell {

/// What crashes were held against one queue's tasks.
struct QueueCrashCounters
{
  std::uint64_t mSuspected = 0; ///< Times that a crash counted for a task.
  std::uint64_t mCleared = 0;   ///< Tasks that a run has cleared again.
  std::uint64_t mGivenUp = 0;   ///< Jobs failed for their crashes.
};

/// What the owner has made of crashes in its term, for the metrics.
struct CrashCounters
{
  std::uint64_t mWorkers = 0; ///< Crashes of workers.
  std::map<QueueId, QueueCrashCounters> mQueues;

  QueueCrashCounters Of(const QueueId& aQueue) const
  {
    const auto found = mQueues.find(aQueue);
    return found == mQueues.end() ? QueueCrashCounters{} : found->second;
  }
};

} // namespace foxtailbarrow::cell
