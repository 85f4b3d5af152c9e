#pragma once

#include <atomic>
#include <cstdint>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow {

/// Counts the requests in progress of one customer at one entry, for several
/// threads without a lock. Learns how fast they end.
class ConcurrencyGate
{
public:
  /// Counts one more, unless `aLimit` are in progress.
  bool TryEnter(std::int64_t aLimit);

  /// One ended.
  void Leave(Instant aNow);

  /// One that entered was not started after all.
  void UndoEnter();

  std::int64_t InProgress() const
  {
    return mInProgress.load(std::memory_order_relaxed);
  }

  /// Mean time between two ends of late; kDefaultInterval before the first.
  Duration MeanInterval() const;

  static constexpr Duration kDefaultInterval = std::chrono::milliseconds(100);

private:
  std::atomic<std::int64_t> mInProgress{ 0 };
  std::atomic<std::int64_t> mLastEnd{ 0 };      ///< Microseconds; 0 = none.
  std::atomic<std::int64_t> mMeanInterval{ 0 }; ///< Microseconds; 0 = none.
};

} // namespace foxtailbarrow
