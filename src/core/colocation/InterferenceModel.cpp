#include "src/core/colocation/InterferenceModel.h"

#include <algorithm>
#include <numeric>

namespace foxtailbarrow {

namespace {

/// High enough to represent the tail, low enough to be stable per window.
constexpr double kQuantile = 0.95;

/// Fewer requests of a level give no usable quantile.
constexpr std::uint64_t kMinRequests = 20;

constexpr double kBaselineStep = 0.2;   ///< Towards a window without tasks.
constexpr double kBaselineDrift = 0.01; ///< Upwards, with tasks only.

/// Growth of the baseline latency from one level to the next, until measured.
constexpr double kBaselineGrowth = 1.25;

/// Windows of a level needed before a class counts in ExpectedExcess().
constexpr std::uint32_t kMinWindows = 10;
/// Filter parameters: initial variance of a class, growth of the variance per
/// window, and variance of a window's excess (a deviation of 0.1).
constexpr double kInitialVariance = 400.0;
constexpr double kVarianceGrowth = 0.02;
constexpr double kExcessVariance = 0.01;

/// Limit of classes; the one with the least interference is dropped first.
constexpr std::size_t kMaxClasses = 512;

} // namespace

double InterferenceModel::ExcessAt(const ServiceHistogram& aLatencies,
                                   std::size_t aLevel) const
{
  const double baseline = mBaselineMicros[aLevel];
  if (aLatencies.Count() < kMinRequests || baseline <= 0.0) {
    return 0.0;
  }
  const auto micros =
    static_cast<double>(aLatencies.Quantile(kQuantile).count());
  return std::max(0.0, micros / baseline - 1.0);
}

double InterferenceModel::ExcessOf(const LatencyWindow& aWindow) const
{
  double sum = 0.0;
  double count = 0.0;
  for (std::size_t level = 0; level < kLoadLevels; ++level) {
    const ServiceHistogram& latencies = aWindow.mLevels[level];
    if (latencies.Count() < kMinRequests || mBaselineMicros[level] <= 0.0) {
      continue;
    }
    const auto weight = static_cast<double>(latencies.Count());
    sum += weight * ExcessAt(latencies, level);
    count += weight;
  }
  return count > 0.0 ? sum / count : 0.0;
}

std::size_t InterferenceModel::LevelOf(const LatencyWindow& aWindow)
{
  const auto busiest =
    std::max_element(aWindow.mLevels.begin(),
                     aWindow.mLevels.end(),
                     [](const auto& aLeft, const auto& aRight) {
                       return aLeft.Count() < aRight.Count();
                     });
  return static_cast<std::size_t>(busiest - aWindow.mLevels.begin());
}

void InterferenceModel::Learn(const LatencyWindow& aWindow,
                              const Placement& aPlacement)
{
  for (std::size_t level = 0; level < kLoadLevels; ++level) {
    const ServiceHistogram& latencies = aWindow.mLevels[level];
    if (latencies.Count() < kMinRequests) {
      continue;
    }
    UpdateBaseline(latencies, level, aPlacement);
    UpdateInterference(ExcessAt(latencies, level), level, aPlacement);
  }
}

void InterferenceModel::UpdateBaseline(const ServiceHistogram& aLatencies,
                                       std::size_t aLevel,
                                       const Placement& aPlacement)
{
  double& baseline = mBaselineMicros[aLevel];
  const bool hasNoTasks = aPlacement.mTasks.empty();
  const auto micros =
    static_cast<double>(aLatencies.Quantile(kQuantile).count());
  double expected = 0.0;
  for (const ColocatedTask& task : aPlacement.mTasks) {
    expected += InterferenceOf(task, aLevel);
  }
  const double target = micros / (1.0 + expected);
  if (baseline <= 0.0) {
    baseline = hasNoTasks ? micros : InitialBaseline(aLevel, micros);
  } else if (hasNoTasks || micros < baseline) {
    baseline += kBaselineStep * (micros - baseline);
  } else if (target > baseline) {
    baseline += kBaselineDrift * (target - baseline);
  }
}

double InterferenceModel::InitialBaseline(std::size_t aLevel,
                                          double aMicros) const
{
  double growth = 1.0;
  for (std::size_t below = aLevel; below-- > 0;) {
    growth *= kBaselineGrowth;
    if (mBaselineMicros[below] > 0.0) {
      return std::min(aMicros, mBaselineMicros[below] * growth);
    }
  }
  return aMicros;
}

void InterferenceModel::UpdateInterference(double aExcess,
                                           std::size_t aLevel,
                                           const Placement& aPlacement)
{
  absl::flat_hash_map<std::string, double> shares;
  for (const ColocatedTask& task : aPlacement.mTasks) {
    shares[task.mClass] += task.ProcessorShare();
  }
  double expected = 0.0;
  double variance = kExcessVariance;
  for (const auto& [name, share] : shares) {
    if (!mClasses.contains(name)) {
      LimitClasses();
      mClasses[name].mVariance.fill(kInitialVariance);
    }
    ClassInterference& learned = mClasses.at(name);
    learned.mVariance[aLevel] += kVarianceGrowth;
    expected += learned.mExcessPerShare[aLevel] * share;
    variance += learned.mVariance[aLevel] * share * share;
  }
  for (const auto& [name, share] : shares) {
    const auto found = mClasses.find(name);
    if (found == mClasses.end()) {
      continue; // Replaced by another class above.
    }
    ClassInterference& learned = found->second;
    const double gain = learned.mVariance[aLevel] * share / variance;
    double& perShare = learned.mExcessPerShare[aLevel];
    perShare = std::max(0.0, perShare + gain * (aExcess - expected));
    learned.mVariance[aLevel] *= 1.0 - gain * share;
    ++learned.mWindows[aLevel];
  }
}

double InterferenceModel::InterferenceOf(const ColocatedTask& aTask,
                                         std::size_t aLevel) const
{
  const auto learned = mClasses.find(aTask.mClass);
  return learned == mClasses.end()
           ? 0.0
           : learned->second.mExcessPerShare[aLevel] * aTask.ProcessorShare();
}

double InterferenceModel::ExpectedExcess(std::span<const ColocatedTask> aTasks,
                                         std::size_t aLevel) const
{
  double sum = 0.0;
  for (const ColocatedTask& task : aTasks) {
    const auto learned = mClasses.find(task.mClass);
    if (learned != mClasses.end() &&
        learned->second.mWindows[aLevel] >= kMinWindows) {
      sum += InterferenceOf(task, aLevel);
    }
  }
  return sum;
}

void InterferenceModel::LimitClasses()
{
  if (mClasses.size() < kMaxClasses) {
    return;
  }
  const auto sum = [](const ClassInterference& aClass) {
    return std::accumulate(
      aClass.mExcessPerShare.begin(), aClass.mExcessPerShare.end(), 0.0);
  };
  mClasses.erase(
    std::min_element(mClasses.begin(),
                     mClasses.end(),
                     [&sum](const auto& aLeft, const auto& aRight) {
                       return sum(aLeft.second) < sum(aRight.second);
                     }));
}

} // namespace foxtailbarrow
