#pragma once

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::cell {

struct LoadFilterSettings
{
  /// Spectral density of the change of the rate, per cubed second.
  double mRateNoiseDensity = 0.05;
  /// Variance of the rate at the start, per squared second.
  double mRateVariance = 0.03;
  /// A forecast does not go beyond this change of the level.
  double mMaxChange = 0.4;
};

/// Follows the load of one standing job: the logarithm of its tasks' tail
/// latency over the target, with nothing beside them. A Kalman filter of level
/// and rate; each look at one of its tasks corrects both. Pure.
class LoadFilter
{
public:
  LoadFilter(double aLevel,
             double aVariance,
             Instant aNow,
             LoadFilterSettings aSettings = {});

  /// Moves on to `aNow`: the level by its rate, and the doubt about both grows.
  void Predict(Instant aNow);

  double Level() const { return mLevel; }
  double Variance() const { return mLevelVariance; }
  Instant PredictedAt() const { return mAt; }

  /// The level was seen `aError` higher; `aNoise` is the variance of that.
  void Correct(double aError, double aNoise);

  /// Expected level at that time.
  double LevelAt(Instant aTime) const;

private:
  LoadFilterSettings mSettings;
  double mLevel;
  double mRate = 0; ///< Per second.
  double mLevelVariance;
  double mCovariance = 0; ///< Of level and rate.
  double mRateVariance;
  Instant mAt;
};

} // namespace foxtailbarrow::cell
