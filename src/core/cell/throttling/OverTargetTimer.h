#pragma once

#include <chrono>
#include <optional>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::cell {

struct OverTargetSettings
{
  /// Measurements are noisy: above the first share of its target an image may
  /// be over it, below the second it is likely not.
  double mMaybeOverShare = 0.92;
  double mUnderShare = 0.8;
  /// Weight of the newest poll in the moving average, which must be low, too.
  double mNewestWeight = 0.6;
  /// The image counts as under its target once the measurements are this many
  /// times likelier at mUnderShare than at the target.
  double mSureOdds = 4;
  /// Bounds of the standard deviation of a measurement's logarithm.
  double mMinNoise = 0.08;
  double mMaxNoise = 0.3;
  /// Factor by which each measurement adjusts the estimate of that deviation.
  double mNoiseStep = 1.1;
  /// A value that stays the same for this long counts as a new measurement.
  Duration mMeasurementSpan = std::chrono::milliseconds(500);
};

/// Measures how long an image has been over its target, from noisy measurements
/// at irregular intervals. The time ends when the newest measurements are low
/// and a sequential probability ratio test, with the noise estimated from the
/// measurements, confirms it. Does no I/O.
class OverTargetTimer
{
public:
  /// `aShare` is the image's worst tail latency in a poll at `aNow`, as a share
  /// of the target.
  void Update(double aShare, const OverTargetSettings& aSettings, Instant aNow);

  bool IsOver() const { return mSince.has_value(); }
  /// Time since the last poll that showed the image under its target; zero
  /// while it is under.
  Duration TimeOver(Instant aNow) const;

private:
  /// Called once per measurement; several polls may return the same one.
  void AddMeasurement(double aMeasurement, const OverTargetSettings& aSettings);

  std::optional<Instant> mSince;
  std::optional<Instant> mLastPoll;
  double mMean = 0; ///< Moving average of the shares' logarithms, per poll.
  double mMeasurement = 0; ///< Logarithm of the newest measurement.
  Instant mMeasuredAt{};
  double mDifference = 0; ///< Median difference of two successive measurements.
  /// Cumulative log likelihood ratio for the image being under its target;
  /// never below 0.
  double mUnderOdds = 0;
};

} // namespace foxtailbarrow::cell
