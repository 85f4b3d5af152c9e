#include "src/core/placement/QuantileSketch.h"

#include <algorithm>
#include <cmath>

namespace foxtailbarrow {

namespace {

constexpr double kBucketRatio = 1.15;

} // namespace

std::size_t QuantileSketch::BucketOf(std::int64_t aAmount)
{
  const double amount = static_cast<double>(std::max<std::int64_t>(aAmount, 1));
  const auto bucket =
    static_cast<std::size_t>(std::log(amount) / std::log(kBucketRatio));
  return std::min(bucket, kBuckets - 1);
}

void QuantileSketch::Add(std::int64_t aAmount)
{
  if (mCount >= kMaxCount) {
    HalveCounts();
  }
  ++mCounts[BucketOf(aAmount)];
  ++mCount;
}

void QuantileSketch::HalveCounts()
{
  mCount = 0;
  for (std::uint16_t& count : mCounts) {
    count /= 2;
    mCount += count;
  }
}

std::int64_t QuantileSketch::Quantile(double aPart) const
{
  const double wanted = aPart * mCount;
  std::uint32_t below = 0;
  for (std::size_t i = 0; i < kBuckets; ++i) {
    below += mCounts[i];
    if (below > 0 && below >= wanted) {
      return static_cast<std::int64_t>(
        std::ceil(std::pow(kBucketRatio, static_cast<double>(i + 1))));
    }
  }
  return 0;
}

} // namespace foxtailbarrow
