#include "src/core/admission/DequeueRate.h"

#include <algorithm>
#include <cmath>

namespace foxtailbarrow {

namespace {

constexpr double kMinMicros = 1.0;

} // namespace

void DequeueRate::OnDequeued(Instant aNow, bool aBacklog)
{
  if (mHadBacklog) {
    // Arithmetic mean of the first kSampleWindow samples, then a moving average
    // over about as many.
    mSamples = std::min(mSamples + 1, kSampleWindow);
    const auto newest = static_cast<double>((aNow - mLast).count());
    const double step = (newest - mMeanMicros) / mSamples;
    mMeanMicros = std::max(kMinMicros, mMeanMicros + step);
  }
  mLast = aNow;
  mHadBacklog = aBacklog;
}

Duration DequeueRate::Interval() const
{
  return mSamples == 0 ? kDefaultInterval : Duration(std::llround(mMeanMicros));
}

} // namespace foxtailbarrow
