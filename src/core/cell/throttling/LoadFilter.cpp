#include "src/core/cell/throttling/LoadFilter.h"

#include <algorithm>
#include <chrono>

namespace foxtailbarrow::cell {

namespace {

double Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

LoadFilter::LoadFilter(double aLevel,
                       double aVariance,
                       Instant aNow,
                       LoadFilterSettings aSettings)
  : mSettings(aSettings)
  , mLevel(aLevel)
  , mLevelVariance(aVariance)
  , mRateVariance(aSettings.mRateVariance)
  , mAt(aNow)
{
}

void LoadFilter::Predict(Instant aNow)
{
  const double passed = Seconds(aNow - mAt);
  if (passed <= 0) {
    return;
  }
  const double rateNoise = mSettings.mRateNoiseDensity;
  mLevel = LevelAt(aNow);
  mLevelVariance += passed * (2 * mCovariance + passed * mRateVariance) +
                    rateNoise * passed * passed * passed / 3;
  mCovariance += passed * mRateVariance + rateNoise * passed * passed / 2;
  mRateVariance += rateNoise * passed;
  mAt = aNow;
}

void LoadFilter::Correct(double aError, double aNoise)
{
  const double total = mLevelVariance + aNoise;
  const double levelGain = mLevelVariance / total;
  const double rateGain = mCovariance / total;
  mLevel += levelGain * aError;
  mRate += rateGain * aError;
  mRateVariance -= rateGain * mCovariance;
  mCovariance *= 1 - levelGain;
  mLevelVariance *= 1 - levelGain;
}

double LoadFilter::LevelAt(Instant aTime) const
{
  const double change = mRate * Seconds(aTime - mAt);
  return mLevel +
         std::clamp(change, -mSettings.mMaxChange, mSettings.mMaxChange);
}

} // namespace foxtailbarrow::cell
