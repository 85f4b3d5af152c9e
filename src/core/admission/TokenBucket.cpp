#include "src/core/admission/TokenBucket.h"

#include <algorithm>
#include <cmath>

namespace foxtailbarrow {

namespace {

constexpr double kNanosPerSecond = 1e9;
constexpr std::int64_t kNanosPerMicro = 1000;
/// One token per day; longer intervals would overflow with a large burst.
constexpr double kMaxInterval = 86'400e9;
/// 73 years; a larger tolerance would overflow when added to a time.
constexpr double kMaxTolerance = 0x1p61;

/// Nanoseconds per token, rounded up so that the rate is never exceeded.
std::int64_t IntervalOf(const BucketLimit& aLimit)
{
  return static_cast<std::int64_t>(
    std::min(std::ceil(kNanosPerSecond / aLimit.mPerSecond), kMaxInterval));
}

std::int64_t ToleranceOf(std::int64_t aInterval, const BucketLimit& aLimit)
{
  const auto tokens = static_cast<double>(aLimit.mBurst - 1);
  const double tolerance = static_cast<double>(aInterval) * tokens;
  return static_cast<std::int64_t>(std::min(tolerance, kMaxTolerance));
}

} // namespace

std::optional<Duration> TokenBucket::TryTake(Instant aNow,
                                             const BucketLimit& aLimit)
{
  if (!(aLimit.mPerSecond > 0) || aLimit.mBurst < 1) {
    return kRetryWithoutShare;
  }
  const std::int64_t now = aNow.time_since_epoch().count() * kNanosPerMicro;
  const std::int64_t interval = IntervalOf(aLimit);
  const std::int64_t tolerance = ToleranceOf(interval, aLimit);
  std::int64_t fullAt = mFullAt.load(std::memory_order_relaxed);
  while (true) {
    const std::int64_t start = std::max(fullAt, now);
    if (const std::int64_t early = start - now - tolerance; early > 0) {
      return Duration((early + kNanosPerMicro - 1) / kNanosPerMicro);
    }
    if (mFullAt.compare_exchange_weak(
          fullAt, start + interval, std::memory_order_relaxed)) {
      return std::nullopt;
    }
  }
}

} // namespace foxtailbarrow
