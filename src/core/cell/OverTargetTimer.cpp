#include "src/core/cell/OverTargetTimer.h"

#include <algorithm>
#include <cmath>

namespace foxtailbarrow::cell {

namespace {

/// Median difference of two normal variates over their deviation.
constexpr double kMedianDifference = 0.954;

double Square(double aValue)
{
  return aValue * aValue;
}

} // namespace

void OverTargetTimer::AddFigure(double aFigure,
                                const OverTargetSettings& aSettings)
{
  // Steps toward the median: a change of the load, however large, counts as one
  // difference.
  const double step = std::abs(aFigure - mFigure) > mDifference
                        ? aSettings.mNoiseStep
                        : 1 / aSettings.mNoiseStep;
  mDifference = std::clamp(mDifference * step,
                           aSettings.mMinNoise * kMedianDifference,
                           aSettings.mMaxNoise * kMedianDifference);
  mFigure = aFigure;
  const double noise = mDifference / kMedianDifference;
  const double under = std::log(aSettings.mUnderShare);
  const double odds =
    (Square(aFigure) - Square(aFigure - under)) / (2 * Square(noise));
  mUnderOdds = std::max(0.0, mUnderOdds + odds);
}

void OverTargetTimer::Update(double aShare,
                             const OverTargetSettings& aSettings,
                             Instant aNow)
{
  const Instant lastLook = mLastPoll.value_or(aNow);
  const double figure = std::log(aShare);
  mMean = mLastPoll ? aSettings.mNewestWeight * figure +
                        (1 - aSettings.mNewestWeight) * mMean
                    : figure;
  if (!mLastPoll || figure != mFigure ||
      aNow - mFigureAt >= aSettings.mFigureSpan) {
    AddFigure(figure, aSettings);
    mFigureAt = aNow;
  }
  mLastPoll = aNow;
  const double under = std::log(aSettings.mUnderShare);
  if (!mSince && aShare > aSettings.mMaybeOverShare) {
    mSince = lastLook;
    mUnderOdds = 0;
  } else if (mSince && figure <= under && mMean <= under &&
             mUnderOdds >= std::log(aSettings.mSureOdds)) {
    mSince.reset();
  }
}

Duration OverTargetTimer::TimeOver(Instant aNow) const
{
  return mSince ? Duration(aNow - *mSince) : Duration::zero();
}

} // namespace foxtailbarrow::cell
