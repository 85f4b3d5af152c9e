#include "src/core/colocation/InterferenceModel.h"

#include <algorithm>
#include <numeric>

namespace foxtailbarrow {

namespace {

/// High enough to show a tail, low enough to be steady within a window.
constexpr double kQuantile = 0.95;

/// Fewer requests of a level say nothing about its tail.
constexpr std::uint64_t kMinRequests = 20;

constexpr double kBaselineStep = 0.2;   ///< Towards a window without tasks.
constexpr double kBaselineDrift = 0.01; ///< Upwards, under tasks only.

/// Growth of the calm latency from one level to the next, until measured.
constexpr double kBaselineGrowth = 1.25;

/// Windows of a level after which a class's harm is believed.
constexpr std::uint32_t kMinWindows = 10;
/// Of the filter: variance of a class not seen yet, growth of a variance by
/// window, and variance of a window's excess (a deviation of 0.1).
constexpr double kFirstVariance = 400.0;
constexpr double kVarianceGrowth = 0.02;
constexpr double kExcessVariance = 0.01;

/// Classes remembered; the least harmful goes first.
constexpr std::size_t kMaxClasses = 512;

} // namespace

double InterferenceModel::ExcessAt(const ServiceHistogram& aLatencies,
                                   std::size_t aLevel) const
{
  const double calm = mBaselineMicros[aLevel];
  if (aLatencies.Count() < kMinRequests || calm <= 0.0) {
    return 0.0;
  }
  const auto micros =
    static_cast<double>(aLatencies.Quantile(kQuantile).count());
  return std::max(0.0, micros / calm - 1.0);
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
  double& calm = mBaselineMicros[aLevel];
  const bool isAlone = aPlacement.mTasks.empty();
  const auto micros =
    static_cast<double>(aLatencies.Quantile(kQuantile).count());
  double expected = 0.0;
  for (const ColocatedTask& task : aPlacement.mTasks) {
    expected += InterferenceOf(task, aLevel);
  }
  const double target = micros / (1.0 + expected);
  if (calm <= 0.0) {
    calm = isAlone ? micros : InitialBaseline(aLevel, micros);
  } else if (isAlone || micros < calm) {
    calm += kBaselineStep * (micros - calm);
  } else if (target > calm) {
    calm += kBaselineDrift * (target - calm);
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
  absl::flat_hash_map<std::string, double> pressures;
  for (const ColocatedTask& task : aPlacement.mTasks) {
    pressures[task.mClass] += task.ProcessorShare();
  }
  double expected = 0.0;
  double variance = kExcessVariance;
  for (const auto& [name, pressure] : pressures) {
    if (!mClasses.contains(name)) {
      ForgetOneClass();
      mClasses[name].mVariance.fill(kFirstVariance);
    }
    ClassInterference& harm = mClasses.at(name);
    harm.mVariance[aLevel] += kVarianceGrowth;
    expected += harm.mExcessPerShare[aLevel] * pressure;
    variance += harm.mVariance[aLevel] * pressure * pressure;
  }
  for (const auto& [name, pressure] : pressures) {
    const auto found = mClasses.find(name);
    if (found == mClasses.end()) {
      continue; // Gave its room to another class just now.
    }
    ClassInterference& harm = found->second;
    const double gain = harm.mVariance[aLevel] * pressure / variance;
    double& perPressure = harm.mExcessPerShare[aLevel];
    perPressure = std::max(0.0, perPressure + gain * (aExcess - expected));
    harm.mVariance[aLevel] *= 1.0 - gain * pressure;
    ++harm.mWindows[aLevel];
  }
}

double InterferenceModel::InterferenceOf(const ColocatedTask& aTask,
                                         std::size_t aLevel) const
{
  const auto harm = mClasses.find(aTask.mClass);
  return harm == mClasses.end()
           ? 0.0
           : harm->second.mExcessPerShare[aLevel] * aTask.ProcessorShare();
}

double InterferenceModel::ExpectedExcess(std::span<const ColocatedTask> aTasks,
                                         std::size_t aLevel) const
{
  double sum = 0.0;
  for (const ColocatedTask& task : aTasks) {
    const auto harm = mClasses.find(task.mClass);
    if (harm != mClasses.end() &&
        harm->second.mWindows[aLevel] >= kMinWindows) {
      sum += InterferenceOf(task, aLevel);
    }
  }
  return sum;
}

void InterferenceModel::ForgetOneClass()
{
  if (mClasses.size() < kMaxClasses) {
    return;
  }
  const auto sum = [](const ClassInterference& aHarm) {
    return std::accumulate(
      aHarm.mExcessPerShare.begin(), aHarm.mExcessPerShare.end(), 0.0);
  };
  mClasses.erase(
    std::min_element(mClasses.begin(),
                     mClasses.end(),
                     [&sum](const auto& aLeft, const auto& aRight) {
                       return sum(aLeft.second) < sum(aRight.second);
                     }));
}

} // namespace foxtailbarrow
