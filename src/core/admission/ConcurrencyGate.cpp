#include "src/core/admission/ConcurrencyGate.h"

#include <algorithm>

namespace foxtailbarrow {

namespace {

/// Weight of a new interval in the moving average: one eighth.
constexpr std::int64_t kSmoothing = 8;
/// Microseconds. Longer intervals are idle periods, which do not show how fast
/// requests complete.
constexpr std::int64_t kMaxInterval = 10'000'000;

} // namespace

bool ConcurrencyGate::TryEnter(std::int64_t aLimit)
{
  std::int64_t inProgress = mInProgress.load(std::memory_order_relaxed);
  while (inProgress < aLimit) {
    if (mInProgress.compare_exchange_weak(
          inProgress, inProgress + 1, std::memory_order_relaxed)) {
      return true;
    }
  }
  return false;
}

void ConcurrencyGate::Leave(Instant aNow)
{
  UndoEnter();
  const std::int64_t now = aNow.time_since_epoch().count();
  const std::int64_t last = mLastEnd.exchange(now, std::memory_order_relaxed);
  if (last == 0) {
    return;
  }
  // Concurrent updates may be lost, which is acceptable for an estimate.
  const std::int64_t interval =
    std::clamp<std::int64_t>(now - last, 1, kMaxInterval);
  const std::int64_t mean = mMeanInterval.load(std::memory_order_relaxed);
  mMeanInterval.store(mean == 0 ? interval
                                : std::max<std::int64_t>(
                                    mean + (interval - mean) / kSmoothing, 1),
                      std::memory_order_relaxed);
}

void ConcurrencyGate::UndoEnter()
{
  mInProgress.fetch_sub(1, std::memory_order_relaxed);
}

Duration ConcurrencyGate::MeanInterval() const
{
  const std::int64_t mean = mMeanInterval.load(std::memory_order_relaxed);
  return mean == 0 ? kDefaultInterval : Duration(mean);
}

} // namespace foxtailbarrow
