#pragma once

#include <array>
#include <cstdint>

namespace foxtailbarrow {

/// Quantiles of positive amounts, from counts in buckets of relative width
/// 15 %. Fixed size. Once the total reaches kMaxCount, all counts are halved,
/// so that old runs lose weight.
class QuantileSketch
{
public:
  void Add(std::int64_t aAmount);

  /// Upper bound of the bucket that contains the quantile `aPart`, 0..1; 0 if
  /// nothing was added. At most 15 % above the true value.
  std::int64_t Quantile(double aPart) const;

  std::uint32_t Count() const { return mCount; }

private:
  static constexpr std::size_t kBuckets = 160;
  static constexpr std::uint32_t kMaxCount = 256;

  static std::size_t BucketOf(std::int64_t aAmount);
  void HalveCounts();

  std::array<std::uint16_t, kBuckets> mCounts{};
  std::uint32_t mCount = 0;
};

} // namespace foxtailbarrow
