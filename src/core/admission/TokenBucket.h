#pragma once

#include <atomic>
#include <cstdint>
#include <optional>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow {

/// Rate limit of one customer at one entry. Both values may change between
/// calls, as the entry's share does.
struct BucketLimit
{
  double mPerSecond = 0; ///< 0 admits nothing.
  std::int64_t mBurst = 1;
};

/// Thread-safe, lock-free token bucket (generic cell rate algorithm). Its only
/// state is the time at which the bucket is full again. Over any span t it
/// admits at most mPerSecond * t + mBurst, as long as the limit does not change
/// within it.
class TokenBucket
{
public:
  /// Takes a token and returns nullopt, or returns the time until there is one.
  std::optional<Duration> TryTake(Instant aNow, const BucketLimit& aLimit);

private:
  std::atomic<std::int64_t> mFullAt{ 0 }; ///< Nanoseconds of Instant's clock.
};

/// Retry-After when a limit admits nothing: no token ever becomes available.
inline constexpr Duration kRetryWithoutShare = std::chrono::seconds(1);

} // namespace foxtailbarrow
