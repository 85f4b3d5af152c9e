#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow {

/// Counts of durations in logarithmic buckets, 8 to a doubling, from 1 us to
/// about 2 minutes: quantiles are exact to 9%.
class ServiceHistogram
{
public:
  static constexpr std::size_t kBuckets = 216;

  static std::size_t BucketOf(Duration aTime);

  /// Upper bound of a bucket.
  static Duration BoundOf(std::size_t aBucket);

  void Add(std::size_t aBucket, std::uint64_t aCount = 1);

  std::uint64_t Count() const { return mCount; }

  /// The duration that this part (0..1) of the counted ones does not exceed;
  /// zero when nothing was counted.
  Duration Quantile(double aPart) const;

private:
  std::array<std::uint64_t, kBuckets> mCounts{};
  std::uint64_t mCount = 0;
};

} // namespace foxtailbarrow
