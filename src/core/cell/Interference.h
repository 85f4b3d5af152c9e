#pragma once

#include <map>
#include <span>
#include <string>
#include <vector>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::cell {

/// Processors that leftover tasks of one image use on a worker.
struct ImageLoad
{
  std::string mImage;
  double mCores = 0;
};

/// How much one core of a leftover image raises the logarithm of a serving
/// image's tail latency, and what that latency is in calm.
struct Pressure
{
  std::string mServing;
  std::string mLeftover;
  double mPerCore = 0;
};

struct InterferenceSettings
{
  /// Assumed of a pair that was never seen, with its variance. Most pairs
  /// hardly disturb each other; some raise the latency several times.
  double mPriorPerCore = 0.025;
  double mPriorVariance = 0.003;
  /// Calm latency as a share of the target, before it is known.
  double mCalmShare = 0.45;
  double mCalmVariance = 0.03;
  /// Variance of the logarithm of a figure: load of its own and rounding. With
  /// 0.1 the weights followed the noise: their error stayed at 0.036 a core
  /// after 50 s of random paces, against 0.014 with this.
  double mNoise = 0.4;
  /// Growth of the variances with each observation: pairs change over time.
  double mDrift = 0.000001;
  /// Greatest error that one observation may correct, against outliers.
  double mMaxError = 2.0;
};

/// Learns, over all workers of a cell, which leftover images disturb which
/// serving images. The logarithm of a serving task's tail latency is taken as a
/// sum: its calm latency, and for each leftover image beside it a weight times
/// the processors it uses. A Kalman filter with a diagonal covariance estimates
/// the weights from figures that are rough and late.
class Interference
{
public:
  explicit Interference(InterferenceSettings aSettings = {});

  /// One look: the mean logarithm of the tail latency over the target of the
  /// image's tasks on a worker, and what ran beside them.
  void Observe(const std::string& aServing,
               double aLogLatency,
               std::span<const ImageLoad> aBeside);

  /// Weight of the pair for each core; the prior for an unknown one.
  double PerCore(const std::string& aServing,
                 const std::string& aLeftover) const;

  /// Room, in units of the logarithm, between the calm latency and `aShare` of
  /// the target.
  double Budget(const std::string& aServing, double aShare) const;

  /// Every pair that was seen.
  std::vector<Pressure> Known() const;

  const InterferenceSettings& Settings() const { return mSettings; }

private:
  struct Estimate
  {
    double mValue = 0;
    double mVariance = 0;
  };

  struct ServingImage
  {
    Estimate mCalm; ///< Logarithm of the latency over the target.
    std::map<std::string, Estimate> mPerCore;
  };

  ServingImage& Entry(const std::string& aServing);
  Estimate& PairOf(ServingImage& aServing, const std::string& aLeftover);

  InterferenceSettings mSettings;
  std::map<std::string, ServingImage> mServing;
};

} // namespace foxtailbarrow::cell
