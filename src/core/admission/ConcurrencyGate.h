#pragma once

#include <atomic>
#include <cstdint>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow {

/// Limits the concurrent requests of one customer at one entry and estimates
/// how fast they complete. Thread-safe and lock-free.
class ConcurrencyGate
{
public:
  /// Admits one more request unless `aLimit` are in progress.
  bool TryEnter(std::int64_t aLimit);

  /// A request completed.
  void Leave(Instant aNow);

  /// Reverts a TryEnter() whose request was not started.
  void UndoEnter();

  std::int64_t InProgress() const
  {
    return mInProgress.load(std::memory_order_relaxed);
  }

  /// Moving average of the time between two completions; kDefaultInterval until
  /// there were two.
  Duration MeanInterval() const;

  static constexpr Duration kDefaultInterval = std::chrono::milliseconds(100);

private:
  std::atomic<std::int64_t> mInProgress{ 0 };
  std::atomic<std::int64_t> mLastEnd{ 0 };      ///< Microseconds; 0 = none.
  std::atomic<std::int64_t> mMeanInterval{ 0 }; ///< Microseconds; 0 = none.
};

} // namespace foxtailbarrow
