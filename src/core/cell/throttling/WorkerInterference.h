#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "foxtailbarrow/Time.h"
#include "src/core/cell/throttling/InterferenceEstimator.h"
#include "src/core/cell/workers/WorkerUse.h"

namespace foxtailbarrow::cell {

/// Interference weights of one best-effort image on serving images, each looked
/// up once.
class InterferenceWeightCache
{
public:
  InterferenceWeightCache(const InterferenceEstimator& aInterference,
                          std::string aBestEffort)
    : mInterference(&aInterference)
    , mBestEffort(std::move(aBestEffort))
  {
  }

  /// Weight per core; `aServing` must outlive this object.
  double WeightOn(const std::string& aServing);

private:
  const InterferenceEstimator* mInterference;
  std::string mBestEffort;
  std::vector<std::pair<std::string_view, double>> mKnown;
};

/// Caches by how much the best-effort tasks of a worker exceed the latency
/// budgets of its serving jobs: a scheduling round asks once for each waiting
/// image. Does no I/O.
class WorkerInterference
{
public:
  /// Short, as the logarithm of the serving tasks' load changes by up to a
  /// third in a second.
  static constexpr Duration kMaxAge = std::chrono::milliseconds(100);

  /// The worker's tasks changed.
  void Invalidate() { mAt = {}; }

  /// Recomputes the rows if they were invalidated or are too old.
  void Refresh(const WorkerUse& aUse,
               const InterferenceEstimator& aInterference,
               double aPlannedShare,
               Instant aNow);

  bool IsKnown() const { return mAt != Instant{}; }

  /// Largest interference beyond the budget of any serving job, with
  /// `aMillicores` of one more best-effort image added; at least 0.
  double WorstExcess(InterferenceWeightCache& aWeights,
                     std::int64_t aMillicores) const;

private:
  struct Row
  {
    std::string mServing;
    double mExcess = 0; ///< Without the added image.
  };

  std::vector<Row> mRows; ///< One per serving job.
  Instant mAt{};
};

} // namespace foxtailbarrow::cell
