#include "src/core/cell/throttling/WorkerInterference.h"

#include <algorithm>

namespace foxtailbarrow::cell {

namespace {

constexpr double kMillicores = 1000.0;

} // namespace

double InterferenceWeightCache::WeightOn(const std::string& aServing)
{
  const auto known = std::ranges::find(
    mKnown, aServing, [](const auto& aEntry) { return aEntry.first; });
  if (known != mKnown.end()) {
    return known->second;
  }
  const double weight = mInterference->PerCore(aServing, mBestEffort);
  mKnown.emplace_back(aServing, weight);
  return weight;
}

void WorkerInterference::Refresh(const WorkerUse& aUse,
                                 const InterferenceEstimator& aInterference,
                                 double aPlannedShare,
                                 Instant aNow)
{
  if (IsKnown() && aNow - mAt < kMaxAge) {
    return;
  }
  mAt = aNow;
  mRows.clear();
  for (const auto& [job, serving] : aUse.mServing) {
    double excess =
      -aInterference.Budget(job, serving.mImage, aPlannedShare, aNow);
    for (const auto& [image, millicores] : aUse.mBestEffortByImage) {
      excess += aInterference.PerCore(serving.mImage, image) *
                static_cast<double>(millicores) / kMillicores;
    }
    mRows.push_back({ serving.mImage, excess });
  }
}

double WorkerInterference::WorstExcess(InterferenceWeightCache& aWeights,
                                       std::int64_t aMillicores) const
{
  const double cores = static_cast<double>(aMillicores) / kMillicores;
  double worst = 0;
  for (const Row& row : mRows) {
    worst =
      std::max(worst, row.mExcess + aWeights.WeightOn(row.mServing) * cores);
  }
  return worst;
}

} // namespace foxtailbarrow::cell
