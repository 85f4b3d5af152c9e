#include "src/core/cell/throttling/OverTargetTimer.h"

#include <algorithm>
#include <cmath>

namespace foxtailbarrow::cell {

namespace {

/// Median absolute difference of two normal variates, in standard deviations.
constexpr double kMedianDifference = 0.954;

double Square(double aValue)
{
  return aValue * aValue;
}

} // namespace

void OverTargetTimer::AddMeasurement(double aMeasurement,
                                     const OverTargetSettings& aSettings)
{
  // Steps toward the median, so that a change of the load counts as one
  // difference, however large.
  const double step = std::abs(aMeasurement - mMeasurement) > mDifference
                        ? aSettings.mNoiseStep
                        : 1 / aSettings.mNoiseStep;
  mDifference = std::clamp(mDifference * step,
                           aSettings.mMinNoise * kMedianDifference,
                           aSettings.mMaxNoise * kMedianDifference);
  mMeasurement = aMeasurement;
  const double noise = mDifference / kMedianDifference;
  const double under = std::log(aSettings.mUnderShare);
  const double odds =
    (Square(aMeasurement) - Square(aMeasurement - under)) / (2 * Square(noise));
  mUnderOdds = std::max(0.0, mUnderOdds + odds);
}

void OverTargetTimer::Update(double aShare,
                             const OverTargetSettings& aSettings,
                             Instant aNow)
{
  const Instant lastPoll = mLastPoll.value_or(aNow);
  const double measurement = std::log(aShare);
  mMean = mLastPoll ? aSettings.mNewestWeight * measurement +
                        (1 - aSettings.mNewestWeight) * mMean
                    : measurement;
  if (!mLastPoll || measurement != mMeasurement ||
      aNow - mMeasuredAt >= aSettings.mMeasurementSpan) {
    AddMeasurement(measurement, aSettings);
    mMeasuredAt = aNow;
  }
  mLastPoll = aNow;
  const double under = std::log(aSettings.mUnderShare);
  if (!mSince && aShare > aSettings.mMaybeOverShare) {
    mSince = lastPoll;
    mUnderOdds = 0;
  } else if (mSince && measurement <= under && mMean <= under &&
             mUnderOdds >= std::log(aSettings.mSureOdds)) {
    mSince.reset();
  }
}

Duration OverTargetTimer::TimeOver(Instant aNow) const
{
  return mSince ? Duration(aNow - *mSince) : Duration::zero();
}

} // namespace foxtailbarrow::cell
