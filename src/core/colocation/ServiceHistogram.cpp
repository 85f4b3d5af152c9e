#include "src/core/colocation/ServiceHistogram.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace foxtailbarrow {

namespace {

constexpr std::uint64_t kPerDoubling = 8;

} // namespace

std::size_t ServiceHistogram::BucketOf(Duration aTime)
{
  const auto micros =
    static_cast<std::uint64_t>(std::max<std::int64_t>(1, aTime.count()));
  const auto power = static_cast<std::uint64_t>(std::bit_width(micros) - 1);
  const std::uint64_t part =
    ((micros - (std::uint64_t{ 1 } << power)) * kPerDoubling) >> power;
  return std::min<std::size_t>(power * kPerDoubling + part, kBuckets - 1);
}

Duration ServiceHistogram::BoundOf(std::size_t aBucket)
{
  const std::uint64_t power = aBucket / kPerDoubling;
  const std::uint64_t part = aBucket % kPerDoubling + 1;
  const double base = std::ldexp(1.0, static_cast<int>(power));
  return Duration(static_cast<std::int64_t>(
    base + base * static_cast<double>(part) / kPerDoubling));
}

void ServiceHistogram::Add(std::size_t aBucket, std::uint64_t aCount)
{
  mCounts[aBucket] += aCount;
  mCount += aCount;
}

Duration ServiceHistogram::Quantile(double aPart) const
{
  const auto rank =
    static_cast<std::uint64_t>(std::ceil(aPart * static_cast<double>(mCount)));
  std::uint64_t seen = 0;
  for (std::size_t bucket = 0; bucket < kBuckets; ++bucket) {
    seen += mCounts[bucket];
    if (seen >= rank && seen > 0) {
      return BoundOf(bucket);
    }
  }
  return Duration{};
}

} // namespace foxtailbarrow
