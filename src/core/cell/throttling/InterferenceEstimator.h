#pragma once

#include <map>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Time.h"
#include "src/core/cell/throttling/LoadFilter.h"

namespace foxtailbarrow::cell {

/// Cores that the best-effort tasks of one image use on a worker.
struct ImageLoad
{
  std::string mImage;
  double mCores = 0;
};

/// How much one core of a best-effort image raises the logarithm of a serving
/// image's tail latency.
struct InterferenceWeight
{
  std::string mServing;
  std::string mBestEffort;
  double mPerCore = 0;
};

/// A serving image's latency without colocated tasks, as a share of the target.
struct BaselineLatency
{
  std::string mServing;
  double mShare = 0;
};

/// What the next owner of the cell starts from.
struct LearnedInterference
{
  std::vector<BaselineLatency> mBaseline;
  std::vector<InterferenceWeight> mPairs;
};

struct InterferenceSettings
{
  /// Prior of a pair that was never observed, with its variance. Most pairs
  /// hardly interfere; some raise the latency several times.
  double mPriorPerCore = 0.025;
  double mPriorVariance = 0.003;
  /// Baseline latency as a share of the target, before it is known.
  double mBaselineShare = 0.45;
  double mBaselineVariance = 0.03;
  /// Variance of the logarithm of one measurement of a job's tasks on a worker:
  /// rounding, noise, and what a sum of weights cannot explain.
  double mNoise = 0.02;
  /// Variance of a standing job's load around the mean of its image. All tasks
  /// of a job share the load.
  double mLoadVariance = 0.1;
  LoadFilterSettings mLoadFilter;
  /// How far ahead placement predicts the load, which may rise while a
  /// best-effort task runs.
  Duration mForecast = std::chrono::milliseconds(1000);
  /// An estimate is saved once its variance has fallen to this share of the
  /// initial one, and is adopted with that variance.
  double mSavedVarianceShare = 0.5;
  /// Growth of the variances per observation, as pairs change over time.
  double mDrift = 0.000001;
  /// Largest error that one observation may correct, against outliers.
  double mMaxError = 1.0;
};

/// Learns from all workers of a cell which best-effort images interfere with
/// which serving images, and tracks the load of each standing job. The
/// logarithm of a serving task's tail latency is modelled as a sum: the load of
/// its job, which all tasks of the job share because they serve the same users,
/// and for each colocated best-effort image a weight times the cores it uses.
/// Kalman filters, one per job and one per pair, estimate both from noisy,
/// delayed measurements.
class InterferenceEstimator
{
public:
  explicit InterferenceEstimator(InterferenceSettings aSettings = {});

  /// Adds one measurement: the mean logarithm of the tail latency, as a share
  /// of the target, of the job's tasks on one worker, and the load colocated
  /// with them.
  void Observe(const JobId& aJob,
               const std::string& aServing,
               double aLogLatency,
               std::span<const ImageLoad> aColocated,
               Instant aNow);

  /// Weight of the pair per core; the prior for an unknown pair.
  double PerCore(const std::string& aServing,
                 const std::string& aBestEffort) const;

  /// Logarithmic headroom between `aShare` of the target and the latency
  /// expected from the job's load alone, the higher of now and mForecast later.
  double Budget(const JobId& aJob,
                const std::string& aServing,
                double aShare,
                Instant aNow) const;

  /// Every observed serving image with its estimated baseline latency.
  std::vector<BaselineLatency> Baselines() const;

  /// Every observed pair.
  std::vector<InterferenceWeight> Known() const;

  /// The estimates that are certain enough to be saved, at most `aMaxPairs`
  /// pairs.
  LearnedInterference WellKnown(std::size_t aMaxPairs) const;
  /// Adopts what an earlier owner learned. What was observed here is kept.
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
