#include "src/core/cell/OverTargetTimer.h"

#include <algorithm>
#include <cmath>

namespace foxtailbarrow::cell {

namespace {

double Square(double aValue)
{
  return aValue * aValue;
}

} // namespace

bool OverTargetTimer::IsNew(double aShare,
                            const OverTargetSettings& aSettings,
                            Instant aNow) const
{
  return !mLastLook || aShare != mShare ||
         aNow - mChangedAt >= aSettings.mFigureSpan;
}

void OverTargetTimer::TakeFigure(double aShare,
                                 const OverTargetSettings& aSettings)
{
  const double least = Square(aSettings.mLeastNoise);
  const double most = Square(aSettings.mMostNoise);
  const double figure = std::log(aShare);
  double variance = mVariance.value_or(least);
  if (mLastLook) {
    // Half of the squared difference; more than the bound is no noise.
    const double seen = std::min(most, Square(figure - std::log(mShare)) / 2);
    variance += aSettings.mNewest * (seen - variance);
  }
  mVariance = std::clamp(variance, least, most);
  const double under = std::log(aSettings.mUnderShare);
  const double odds =
    (Square(figure) - Square(figure - under)) / (2 * *mVariance);
  mUnderOdds = std::max(0.0, mUnderOdds + odds);
}

void OverTargetTimer::Take(double aShare,
                           const OverTargetSettings& aSettings,
                           Instant aNow)
{
  const Instant lastLook = mLastLook.value_or(aNow);
  if (IsNew(aShare, aSettings, aNow)) {
    TakeFigure(aShare, aSettings);
    mShare = aShare;
    mChangedAt = aNow;
  }
  mLastLook = aNow;
  if (!mSince && aShare > aSettings.mMaybeOverShare) {
    mSince = lastLook;
    mUnderOdds = 0;
  } else if (mSince && mUnderOdds >= std::log(aSettings.mSureOdds)) {
    mSince.reset();
  }
}

Duration OverTargetTimer::TimeOver(Instant aNow) const
{
  return mSince ? Duration(aNow - *mSince) : Duration::zero();
}

} // namespace foxtailbarrow::cell
