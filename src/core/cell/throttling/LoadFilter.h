#pragma once

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::cell {

struct LoadFilterSettings
{
  /// Spectral density of the noise of the rate, per cubed second.
  double mRateNoiseDensity = 0.05;
  /// Initial variance of the rate, per squared second.
  double mRateVariance = 0.03;
  /// A forecast changes the level by at most this much.
  double mMaxChange = 0.4;
};

/// Tracks the load of one standing job: the logarithm of its tasks' tail
/// latency as a share of the target, without colocated tasks. A Kalman filter
/// of level and rate, both corrected by each measurement. Does no I/O.
class LoadFilter
{
public:
  LoadFilter(double aLevel,
             double aVariance,
             Instant aNow,
             LoadFilterSettings aSettings = {});

  /// Prediction step: moves the level to `aNow` and grows the variances. An
  /// earlier time changes nothing.
  void Predict(Instant aNow);

  double Level() const { return mLevel; }
  double Variance() const { return mLevelVariance; }
  Instant PredictedAt() const { return mAt; }

  /// Correction step: the level was measured `aError` higher, with variance
  /// `aNoise`.
  void Correct(double aError, double aNoise);

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
