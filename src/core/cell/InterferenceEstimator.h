#pragma once

#include <map>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Time.h"
#include "src/core/cell/LoadFilter.h"

namespace foxtailbarrow::cell {

/// Processors that leftover tasks of one image use on a worker.
struct ImageLoad
{
  std::string mImage;
  double mCores = 0;
};

/// How much one core of a leftover image raises the logarithm of a serving
/// image's tail latency, and what that latency is in calm.
struct InterferenceWeight
{
  std::string mServing;
  std::string mBestEffort;
  double mPerCore = 0;
};

/// An image's latency with nothing beside it, as a share of the target.
struct BaselineLatency
{
  std::string mServing;
  double mShare = 0;
};

/// What a next owner of the cell need not learn anew.
struct LearnedInterference
{
  std::vector<BaselineLatency> mBaseline;
  std::vector<InterferenceWeight> mPairs;
};

struct InterferenceSettings
{
  /// Assumed of a pair that was never seen, with its variance. Most pairs
  /// hardly disturb each other; some raise the latency several times.
  double mPriorPerCore = 0.025;
  double mPriorVariance = 0.003;
  /// Baselines latency as a share of the target, before it is known.
  double mBaselineShare = 0.45;
  double mBaselineVariance = 0.03;
  /// Variance of the logarithm of one look at a job's tasks on a worker:
  /// rounding, roughness, and what a sum of weights cannot explain.
  double mNoise = 0.02;
  /// Variance of a standing job's load about the mean of its image; all tasks
  /// of a job share it.
  double mLoadVariance = 0.1;
  LoadFilterSettings mLoadFilter;
  /// How far ahead placing looks: leftover tasks last longer, and the load
  /// rises meanwhile.
  Duration mForecast = std::chrono::milliseconds(1000);
  /// An estimate is worth keeping once its variance has come down to this share
  /// of the one that it began with, and is adopted with that variance.
  double mKeptVarianceShare = 0.5;
  /// Growth of the variances with each observation: pairs change over time.
  double mDrift = 0.000001;
  /// Greatest error that one observation may correct, against outliers.
  double mMaxError = 1.0;
};

/// Learns, over all workers of a cell, which leftover images disturb which
/// serving images, and follows the load of each standing job. The logarithm of
/// a serving task's tail latency is taken as a sum: the load of its job, which
/// all tasks of the job share, since they serve the same users; and for each
/// leftover image beside it a weight times the processors it uses. Kalman
/// filters, one a job and one a pair, estimate both from figures that are rough
/// and late.
class InterferenceEstimator
{
public:
  explicit InterferenceEstimator(InterferenceSettings aSettings = {});

  /// One look: the mean logarithm of the tail latency over the target of the
  /// job's tasks on one worker, and what ran beside them.
  void Observe(const JobId& aJob,
               const std::string& aServing,
               double aLogLatency,
               std::span<const ImageLoad> aColocated,
               Instant aNow);

  /// Weight of the pair for each core; the prior for an unknown one.
  double PerCore(const std::string& aServing,
                 const std::string& aBestEffort) const;

  /// Room, in units of the logarithm, between the latency that the job's load
  /// is expected to bring, now and a little later, and `aShare` of the target.
  double Budget(const JobId& aJob,
                const std::string& aServing,
                double aShare,
                Instant aNow) const;

  /// Every serving image that was seen, with what its calm latency is taken
  /// to be.
  std::vector<BaselineLatency> Baselines() const;

  /// Every pair that was seen.
  std::vector<InterferenceWeight> Known() const;

  /// What is known well enough to be kept, at most `aMaxPairs` of it.
  LearnedInterference WellKnown(std::size_t aMaxPairs) const;
  /// Takes over what an earlier owner learned. What was observed here stays.
  void Adopt(const LearnedInterference& aLearned);

  const InterferenceSettings& Settings() const { return mSettings; }

private:
  struct Estimate
  {
    double mValue = 0;
    double mVariance = 0;
  };

  struct ServingImage
  {
    Estimate mBaseline; ///< Mean of the jobs' loads.
    std::map<std::string, Estimate> mPerCore;
  };

  ServingImage& Entry(const std::string& aServing);
  LoadFilter& LoadOf(const JobId& aJob,
                     const ServingImage& aImage,
                     Instant aNow);
  Estimate& PairOf(ServingImage& aServing, const std::string& aBestEffort);

  InterferenceSettings mSettings;
  std::map<std::string, ServingImage> mServing;
  std::map<JobId, LoadFilter> mLoads;
};

} // namespace foxtailbarrow::cell
