#pragma once

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::cell {

struct LoadTrackSettings
{
  /// Spectral density of the change of the rate, per cubed second.
  double mBend = 0.05;
  /// Variance of the rate at the start, per squared second.
  double mRateVariance = 0.03;
  /// A forecast does not go beyond this change of the level.
  double mMostChange = 0.4;
};

/// Follows the load of one standing job: the logarithm of its tasks' tail
/// latency over the target, with nothing beside them. A Kalman filter of level
/// and rate; each look at one of its tasks corrects both. Pure.
class LoadTrack
{
public:
  LoadTrack(double aLevel,
            double aVariance,
            Instant aNow,
            LoadTrackSettings aSettings = {});

  /// Moves on to `aNow`: the level by its rate, and the doubt about both grows.
  void MoveOn(Instant aNow);

  double Level() const { return mLevel; }
  double Variance() const { return mLevelVariance; }
  Instant MovedAt() const { return mAt; }

  /// The level was seen `aError` higher; `aNoise` is the variance of that.
  void Correct(double aError, double aNoise);

  /// Expected level at that time.
  double LevelAt(Instant aTime) const;

private:
  LoadTrackSettings mSettings;
  double mLevel;
  double mRate = 0; ///< Per second.
  double mLevelVariance;
  double mCovariance = 0; ///< Of level and rate.
  double mRateVariance;
  Instant mAt;
};

} // namespace foxtailbarrow::cell
