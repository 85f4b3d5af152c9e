#pragma once

#include <chrono>
#include <optional>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::cell {

struct OverTargetSettings
{
  /// Figures are rough: above the first share of its target an image may be
  /// over it, below the second one it is likely not.
  double mMaybeOverShare = 0.92;
  double mUnderShare = 0.8;
  /// Weight of the newest look in the mean that must be low, too.
  double mNewestWeight = 0.6;
  /// Figures say that an image is under its target when they are so many times
  /// likelier at mUnderShare than at the target.
  double mSureOdds = 4;
  /// Bounds of the deviation of a figure's logarithm.
  double mMinNoise = 0.08;
  double mMaxNoise = 0.3;
  /// Step by which the estimate of that deviation follows each figure.
  double mNoiseStep = 1.1;
  /// A figure that does not change for so long is taken for a new one.
  Duration mFigureSpan = std::chrono::milliseconds(500);
};

/// Tells for how long an image has been over its target, from rough figures
/// that come at any intervals. The time is over when the newest figures are low
/// and a sequential test, with the noise that the figures themselves show,
/// rules out chance. Pure.
class OverTargetTimer
{
public:
  /// The image's worst tail latency in a look at `aNow`, over the target.
  void Update(double aShare, const OverTargetSettings& aSettings, Instant aNow);

  bool IsOver() const { return mSince.has_value(); }
  /// Since the last look that showed the image under its target; zero while it
  /// is under.
  Duration TimeOver(Instant aNow) const;

private:
  /// A figure that has not been taken yet; several looks may show the same one.
  void AddFigure(double aFigure, const OverTargetSettings& aSettings);

  std::optional<Instant> mSince;
  std::optional<Instant> mLastPoll;
  double mMean = 0;   ///< Of the logarithms of the shares, by look.
  double mFigure = 0; ///< Logarithm of the newest figure.
  Instant mFigureAt{};
  double mDifference = 0; ///< Median of that of two figures.
  /// Logarithm of the odds that the image is under its target, since it was
  /// likeliest at it.
  double mUnderOdds = 0;
};

} // namespace foxtailbarrow::cell
