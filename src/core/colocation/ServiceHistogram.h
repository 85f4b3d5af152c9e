#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow {

/// Counts of durations in logarithmic buckets, 8 per doubling, from 1 us to
/// about 2 minutes: the relative error of quantiles is at most 9%.
class ServiceHistogram
{
public:
  static constexpr std::size_t kBuckets = 216;

  static std::size_t BucketOf(Duration aTime);

  /// Upper bound of a bucket.
  static Duration BoundOf(std::size_t aBucket);

  void Add(std::size_t aBucket, std::uint64_t aCount = 1);

  std::uint64_t Count() const { return mCount; }

  /// Upper bound of the duration at quantile `aPart` (0..1); zero if nothing
  /// was counted.
  Duration Quantile(double aPart) const;

private:
  std::array<std::uint64_t, kBuckets> mCounts{};
  std::uint64_t mCount = 0;
};

} // namespace foxtailbarrow
