#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "foxtailbarrow/Time.h"
#include "src/core/cell/InterferenceEstimator.h"
#include "src/core/cell/WorkerUse.h"

namespace foxtailbarrow::cell {

/// Weights of one leftover image on serving images, each looked up once.
class InterferenceWeightCache
{
public:
  InterferenceWeightCache(const InterferenceEstimator& aInterference,
                          std::string aBestEffort)
    : mInterference(&aInterference)
    , mBestEffort(std::move(aBestEffort))
  {
  }

  /// For each core; `aServing` must outlive this object.
  double On(const std::string& aServing);

private:
  const InterferenceEstimator* mInterference;
  std::string mBestEffort;
  std::vector<std::pair<std::string_view, double>> mKnown;
};

/// What presses on the serving tasks of a worker over what they can bear, kept
/// for a while: a round of placing asks for it once for each image that waits.
/// Pure.
class WorkerInterference
{
public:
  /// The load of serving tasks changes by a third of the logarithm in a second
  /// at most, and so by little within this.
  static constexpr Duration kMaxAge = std::chrono::milliseconds(100);

  /// The worker's tasks changed.
  void Forget() { mAt = {}; }

  /// Computes it anew where it was forgotten or is too old.
  void Refresh(const WorkerUse& aUse,
               const InterferenceEstimator& aInterference,
               double aPlannedShare,
               Instant aNow);

  bool IsKnown() const { return mAt != Instant{}; }

  /// Worst pressure over the budget of any serving job, with `aMillicores` of
  /// one more leftover image; at least 0.
  double WorstExcess(InterferenceWeightCache& aWeights,
                     std::int64_t aMillicores) const;

private:
  struct Row
  {
    std::string mServing;
    double mExcess = 0; ///< Without anything more.
  };

  std::vector<Row> mRows; ///< One a serving job.
  Instant mAt{};
};

} // namespace foxtailbarrow::cell
