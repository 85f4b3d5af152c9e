#include "src/core/admission/DrainRate.h"

#include <algorithm>
#include <cmath>

namespace foxtailbarrow {

namespace {

/// A new interval counts for a 64th: several slots end at irregular times.
constexpr double kSmoothing = 1.0 / 64;
constexpr Duration kMinInterval{ 1 };

} // namespace

void DrainRate::OnLeave(Instant aNow, bool aBacklog)
{
  if (mHadBacklog) {
    const auto mean = static_cast<double>(mInterval.count());
    const auto newest = static_cast<double>((aNow - mLast).count());
    const double next = mean + (newest - mean) * kSmoothing;
    mInterval = std::max(kMinInterval, Duration(std::llround(next)));
  }
  mLast = aNow;
  mHadBacklog = aBacklog;
}

} // namespace foxtailbarrow
