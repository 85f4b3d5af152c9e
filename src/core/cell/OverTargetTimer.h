#pragma once

#include <chrono>
#include <optional>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::cell {

struct OverTargetSettings
{
  /// Above this share of its target an image may be over it.
  double mMaybeOverShare = 0.92;
  /// An image that is no more over its target is taken to be at this share.
  double mUnderShare = 0.8;
  /// Figures say that an image is under its target when they are so many times
  /// likelier there than at the target.
  double mSureOdds = 50;
  /// Bounds of the deviation of a figure's logarithm.
  double mLeastNoise = 0.08;
  double mMostNoise = 0.25;
  /// Weight of the newest difference of two figures in the estimate of it.
  double mNewest = 0.1;
  /// A figure that does not change for so long is taken for a new one.
  Duration mFigureSpan = std::chrono::milliseconds(500);
};

/// Tells for how long an image has been over its target, from rough figures
/// that come at any intervals. A sequential test with the noise of the figures
/// themselves decides when the time is over, so that single low figures do not
/// end it. Pure.
class OverTargetTimer
{
public:
  /// The image's worst tail latency in a look at `aNow`, over the target.
  void Take(double aShare, const OverTargetSettings& aSettings, Instant aNow);

  bool IsOver() const { return mSince.has_value(); }
  /// Since the last look that showed the image under its target; zero while it
  /// is under.
  Duration TimeOver(Instant aNow) const;

private:
  bool IsNew(double aShare,
             const OverTargetSettings& aSettings,
             Instant aNow) const;
  void TakeFigure(double aShare, const OverTargetSettings& aSettings);

  std::optional<Instant> mSince;
  std::optional<Instant> mLastLook;
  double mShare = 0; ///< The newest figure.
  Instant mChangedAt{};
  std::optional<double> mVariance; ///< Of a figure's logarithm.
  /// Logarithm of the odds that the image is under its target, since it was
  /// likeliest at it.
  double mUnderOdds = 0;
};

} // namespace foxtailbarrow::cell
