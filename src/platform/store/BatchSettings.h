#pragma once

#include <cstddef>

#include "foxtailbarrow/Time.h"
#include "src/platform/store/KeyValueTable.h"

namespace foxtailbarrow {

struct BatchSettings
{
  /// Lanes are independent: each has its own queue and at most one transaction
  /// in flight. Fewer lanes make larger batches and fewer calls.
  unsigned mLanes = 1;
  /// Maximum time that a write waits for others while its lane is idle.
  Duration mLinger = std::chrono::milliseconds(20);
  std::size_t mMaxQueued = 4096; ///< Queued writes of one lane.
  /// Writes and distinct guards per transaction.
  std::size_t mMaxOperations = kMaxTransactionOperations;
  /// Total size of a transaction with more than one write.
  std::size_t mMaxBytes = 1024 * kKibibyte;
};

} // namespace foxtailbarrow
