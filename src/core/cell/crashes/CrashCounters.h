#pragma once

#include <cstdint>
#include <map>

#include "src/core/cell/JobGraph.h"

namespace foxtailbarrow::cell {

/// Crashes that count against the tasks of one queue.
struct QueueCrashCounters
{
  std::uint64_t mSuspected = 0; ///< Crashes counted against a task.
  std::uint64_t mCleared = 0;   ///< Tasks cleared by a later run.
  std::uint64_t mGivenUp = 0;   ///< Jobs failed because of crashes.
};

/// Crash metrics of the owner since it took over.
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
