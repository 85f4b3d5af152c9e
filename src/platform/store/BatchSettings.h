#pragma once

#include <cstddef>

#include "foxtailbarrow/Time.h"
#include "src/platform/store/KeyValueTable.h"

namespace foxtailbarrow {

struct BatchSettings
{
  /// Lanes are independent: each has its own queue and one transaction on its
  /// way at a time. Fewer lanes make larger batches and fewer calls.
  unsigned mLanes = 1;
  /// Longest that a write waits for others while its lane is idle.
  Duration mLinger = std::chrono::milliseconds(20);
  std::size_t mMaxQueued = 4096; ///< Writes waiting in one lane.
  /// Writes and distinct guards of one transaction.
  std::size_t mMaxOperations = kMaxTransactionOperations;
  std::size_t mMaxBytes = 1024 * kKibibyte; ///< Of several writes together.
};

} // namespace foxtailbarrow
