#include "src/core/colocation/InterferenceModel.h"

#include <algorithm>
#include <numeric>

namespace foxtailbarrow {

namespace {

/// High enough to show a tail, low enough to be steady within a window.
constexpr double kQuantile = 0.95;

/// Fewer requests of a level say nothing about its tail.
constexpr std::uint64_t kLeastRequests = 20;

constexpr double kCalmStep = 0.2;   ///< Towards a window without tasks.
constexpr double kCalmDrift = 0.01; ///< Upwards, under tasks only.

/// Growth of the calm latency from one level to the next, until measured.
constexpr double kCalmGrowth = 1.25;

/// Windows of a level after which a class's harm is believed.
constexpr std::uint32_t kLeastWindows = 10;
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
  const double calm = mCalmMicros[aLevel];
  if (aLatencies.Count() < kLeastRequests || calm <= 0.0) {
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
    if (latencies.Count() < kLeastRequests || mCalmMicros[level] <= 0.0) {
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
    if (latencies.Count() < kLeastRequests) {
      continue;
    }
    LearnCalm(latencies, level, aPlacement);
    LearnHarm(ExcessAt(latencies, level), level, aPlacement);
  }
}

void InterferenceModel::LearnCalm(const ServiceHistogram& aLatencies,
                                  std::size_t aLevel,
                                  const Placement& aPlacement)
{
  double& calm = mCalmMicros[aLevel];
  const bool isAlone = aPlacement.mTasks.empty();
  const auto micros =
    static_cast<double>(aLatencies.Quantile(kQuantile).count());
  double expected = 0.0;
  for (const ColocatedTask& task : aPlacement.mTasks) {
    expected += HarmOf(task, aLevel);
  }
  const double target = micros / (1.0 + expected);
  if (calm <= 0.0) {
    calm = isAlone ? micros : FirstCalm(aLevel, micros);
  } else if (isAlone || micros < calm) {
    calm += kCalmStep * (micros - calm);
  } else if (target > calm) {
    calm += kCalmDrift * (target - calm);
  }
}

double InterferenceModel::FirstCalm(std::size_t aLevel, double aMicros) const
{
  double growth = 1.0;
  for (std::size_t below = aLevel; below-- > 0;) {
    growth *= kCalmGrowth;
    if (mCalmMicros[below] > 0.0) {
      return std::min(aMicros, mCalmMicros[below] * growth);
    }
  }
  return aMicros;
}

void InterferenceModel::LearnHarm(double aExcess,
                                  std::size_t aLevel,
                                  const Placement& aPlacement)
{
  absl::flat_hash_map<std::string, double> pressures;
  for (const ColocatedTask& task : aPlacement.mTasks) {
    pressures[task.mClass] += task.Pressure();
  }
  double expected = 0.0;
  double variance = kExcessVariance;
  for (const auto& [name, pressure] : pressures) {
    if (!mHarm.contains(name)) {
      MakeRoom();
      mHarm[name].mVariance.fill(kFirstVariance);
    }
    Harm& harm = mHarm.at(name);
    harm.mVariance[aLevel] += kVarianceGrowth;
    expected += harm.mPerPressure[aLevel] * pressure;
    variance += harm.mVariance[aLevel] * pressure * pressure;
  }
  for (const auto& [name, pressure] : pressures) {
    const auto found = mHarm.find(name);
    if (found == mHarm.end()) {
      continue; // Gave its room to another class just now.
    }
    Harm& harm = found->second;
    const double gain = harm.mVariance[aLevel] * pressure / variance;
    double& perPressure = harm.mPerPressure[aLevel];
    perPressure = std::max(0.0, perPressure + gain * (aExcess - expected));
    harm.mVariance[aLevel] *= 1.0 - gain * pressure;
    ++harm.mWindows[aLevel];
  }
}

double InterferenceModel::HarmOf(const ColocatedTask& aTask,
                                 std::size_t aLevel) const
{
  const auto harm = mHarm.find(aTask.mClass);
  return harm == mHarm.end()
           ? 0.0
           : harm->second.mPerPressure[aLevel] * aTask.Pressure();
}

double InterferenceModel::ExpectedExcess(std::span<const ColocatedTask> aTasks,
                                         std::size_t aLevel) const
{
  double sum = 0.0;
  for (const ColocatedTask& task : aTasks) {
    const auto harm = mHarm.find(task.mClass);
    if (harm != mHarm.end() && harm->second.mWindows[aLevel] >= kLeastWindows) {
      sum += HarmOf(task, aLevel);
    }
  }
  return sum;
}

void InterferenceModel::MakeRoom()
{
  if (mHarm.size() < kMaxClasses) {
    return;
  }
  const auto sum = [](const Harm& aHarm) {
    return std::accumulate(
      aHarm.mPerPressure.begin(), aHarm.mPerPressure.end(), 0.0);
  };
  mHarm.erase(std::min_element(
    mHarm.begin(), mHarm.end(), [&sum](const auto& aLeft, const auto& aRight) {
      return sum(aLeft.second) < sum(aRight.second);
    }));
}

} // namespace foxtailbarrow
