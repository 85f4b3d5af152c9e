#include "src/core/trace/LatencyHistogram.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace foxtailbarrow {
namespace {

constexpr double kRelativeError = 0.006;

Duration Exact(std::vector<int> aSorted, double aShare)
{
  const auto rank = static_cast<std::size_t>(
    std::ceil(aShare * static_cast<double>(aSorted.size())));
  return Duration(aSorted[std::max<std::size_t>(rank, 1) - 1]);
}

RC_GTEST_PROP(LatencyHistogram, QuantilesAreWithinHalfAPercent, ())
{
  auto latencies = *rc::gen::nonEmpty(
    rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 100'000'000)));
  LatencyHistogram left;
  LatencyHistogram right;
  for (std::size_t i = 0; i < latencies.size(); ++i) {
    (i % 2 == 0 ? left : right).Record(Duration(latencies[i]));
  }
  left.Merge(right);
  std::ranges::sort(latencies);
  for (const double share : { 0.0, 0.5, 0.99, 0.999, 1.0 }) {
    const auto exact = static_cast<double>(Exact(latencies, share).count());
    const auto quantile = static_cast<double>(left.Quantile(share).count());
    // One microsecond more, as quantiles are rounded to microseconds.
    RC_ASSERT(std::abs(quantile - exact) <= exact * kRelativeError + 1.0);
  }
}

TEST(LatencyHistogram, IsZeroWhenEmpty)
{
  EXPECT_EQ(LatencyHistogram().Quantile(0.99), Duration{});
}

struct OutOfRangeCase
{
  Duration mLatency;
  Duration mClamped;
};

class LatencyOutside : public testing::TestWithParam<OutOfRangeCase>
{};

TEST_P(LatencyOutside, CountsAsTheNearestBound)
{
  LatencyHistogram histogram;
  histogram.Record(GetParam().mLatency);
  EXPECT_EQ(histogram.Count(), 1U);
  const double quantile = static_cast<double>(histogram.Quantile(0.5).count());
  const double bound = static_cast<double>(GetParam().mClamped.count());
  EXPECT_NEAR(quantile, bound, bound * kRelativeError);
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  LatencyOutside,
  testing::Values(OutOfRangeCase{ Duration(0), Duration(1) },
                  OutOfRangeCase{ Duration(-5), Duration(1) },
                  OutOfRangeCase{ std::chrono::hours(9),
                                  std::chrono::seconds(1000) }));

} // namespace
} // namespace foxtailbarrow
