#include "src/core/trace/LatencyHistogram.h"

#include <algorithm>
#include <cmath>

#include <boost/histogram.hpp>

namespace foxtailbarrow {

namespace {

namespace histogram = boost::histogram;
using Axis = histogram::axis::regular<double, histogram::axis::transform::log>;
using Storage = histogram::dense_storage<std::uint64_t>;
using Histogram = histogram::histogram<std::tuple<Axis>, Storage>;

constexpr double kMinUs = 1.0;
constexpr double kMaxUs = 1e9;
/// Bucket bounds grow by 1%, so that the centre of a bucket is off by at most
/// half of that.
constexpr double kBucketRatio = 1.01;

Histogram MakeHistogram()
{
  const auto buckets = static_cast<unsigned>(
    std::ceil(std::log(kMaxUs / kMinUs) / std::log(kBucketRatio)));
  return histogram::make_histogram_with(Storage(),
                                        Axis(buckets, kMinUs, kMaxUs));
}

} // namespace

struct LatencyHistogram::Buckets
{
  Histogram mHistogram = MakeHistogram();
};

LatencyHistogram::LatencyHistogram()
  : mBuckets(std::make_unique<Buckets>())
{
}

LatencyHistogram::~LatencyHistogram() = default;
LatencyHistogram::LatencyHistogram(LatencyHistogram&&) noexcept = default;
LatencyHistogram& LatencyHistogram::operator=(LatencyHistogram&&) noexcept =
  default;

void LatencyHistogram::Record(Duration aLatency)
{
  const double latencyUs = static_cast<double>(aLatency.count());
  const double greatest = std::nextafter(kMaxUs, kMinUs);
  mBuckets->mHistogram(std::clamp(latencyUs, kMinUs, greatest));
  ++mCount;
}

void LatencyHistogram::Merge(const LatencyHistogram& aOther)
{
  mBuckets->mHistogram += aOther.mBuckets->mHistogram;
  mCount += aOther.mCount;
}

Duration LatencyHistogram::Quantile(double aShare) const
{
  if (mCount == 0) {
    return Duration{};
  }
  const double exactRank = std::ceil(aShare * static_cast<double>(mCount));
  const auto rank =
    std::max<std::uint64_t>(1, static_cast<std::uint64_t>(exactRank));
  std::uint64_t cumulative = 0;
  for (const auto& bucket : histogram::indexed(mBuckets->mHistogram)) {
    cumulative += *bucket;
    if (cumulative >= rank) {
      return Duration(std::llround(bucket.bin().center()));
    }
  }
  return Duration(std::llround(kMaxUs));
}

} // namespace foxtailbarrow
