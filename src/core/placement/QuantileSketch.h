#pragma once

#include <array>
#include <cstdint>

namespace foxtailbarrow {

/// Quantiles of positive amounts, by counts in buckets of relative width 15 %.
/// Fixed size. Forgets: once full, every count is halved, so that old runs
/// fade.
class QuantileSketch
{
public:
  void Add(std::int64_t aAmount);

  /// Upper edge of the bucket that holds the quantile `aPart`, 0..1; 0 when
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
