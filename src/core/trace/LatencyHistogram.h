#pragma once

#include <cstdint>
#include <memory>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow {

/// Counts latencies from 1 us to 1,000 s in logarithmic buckets (by
/// Boost.Histogram), so that a quantile is within 0.5% of the true one at a
/// fixed size. Shorter and longer ones count as the nearest bound. Not
/// synchronised: keep one a thread and Merge() them.
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

  /// Latency that a share `aShare`, 0..1, of the counted ones do not exceed; 0
  /// when nothing was counted.
  Duration Quantile(double aShare) const;

private:
  struct Buckets;
  std::unique_ptr<Buckets> mBuckets;
  std::uint64_t mCount = 0;
};

} // namespace foxtailbarrow
