#pragma once

#include <cstdint>
#include <memory>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow {

/// A histogram of latencies from 1 us to 1,000 s with logarithmic buckets, so
/// that quantiles are accurate to 0.5% at a fixed size. Values outside the
/// range are clamped to it. Not thread-safe: keep one per thread and Merge()
/// them.
class LatencyHistogram
{
public:
  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(LatencyHistogram&&) noexcept;
  LatencyHistogram& operator=(LatencyHistogram&&) noexcept;

  void Record(Duration aLatency);
  void Merge(const LatencyHistogram& aOther);

  std::uint64_t Count() const { return mCount; }

  /// The quantile `aShare`, 0..1, of the recorded latencies; 0 if there are
  /// none.
  Duration Quantile(double aShare) const;

private:
  struct Buckets;
  std::unique_ptr<Buckets> mBuckets;
  std::uint64_t mCount = 0;
};

} // namespace foxtailbarrow
