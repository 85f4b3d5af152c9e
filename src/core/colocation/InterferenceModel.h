#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "absl/container/flat_hash_map.h"

#include "src/core/colocation/LatencyRecorder.h"
#include "src/core/colocation/LoadLevel.h"
#include "src/core/colocation/PlacementHistory.h"

namespace foxtailbarrow {

/// Learns how much each class of tasks slows the service down, by load level.
///
/// Each level has a baseline latency: a quantile of windows without tasks, or
/// that of windows with tasks after discounting the expected interference. A
/// level first measured with colocated tasks starts from the next lower level's
/// baseline. The excess of a window at a level is its quantile relative to the
/// baseline, minus 1. It is modelled as a sum over the tasks: the coefficient
/// of a task's class times its processor share. The coefficients, never below
/// 0, are estimated by a Kalman filter with a variance for each class, so that
/// excess is attributed to new classes rather than to those that have long run
/// without interference. A class keeps its coefficient after its tasks have
/// ended. Classes that always run together cannot be distinguished.
class InterferenceModel
{
public:
  /// Updates the model with one window and the placement in force during it.
  void Learn(const LatencyWindow& aWindow, const Placement& aPlacement);

  /// Mean excess of a window over the levels with enough requests and a
  /// baseline latency; 0 if there are none.
  double ExcessOf(const LatencyWindow& aWindow) const;

  /// Excess that the task is expected to cause at the level.
  double InterferenceOf(const ColocatedTask& aTask, std::size_t aLevel) const;

  /// Sum of InterferenceOf() over the tasks whose class was measured in at
  /// least kMinWindows windows of the level.
  double ExpectedExcess(std::span<const ColocatedTask> aTasks,
                        std::size_t aLevel) const;

  /// The level with most of the window's requests.
  static std::size_t LevelOf(const LatencyWindow& aWindow);

  std::size_t Classes() const { return mClasses.size(); }

private:
  using Levels = std::array<double, kLoadLevels>;

  struct ClassInterference
  {
    Levels mExcessPerShare{};
    Levels mVariance{};
    std::array<std::uint32_t, kLoadLevels> mWindows{};
  };

  double ExcessAt(const ServiceHistogram& aLatencies, std::size_t aLevel) const;
  double InitialBaseline(std::size_t aLevel, double aMicros) const;
  void UpdateBaseline(const ServiceHistogram& aLatencies,
                      std::size_t aLevel,
                      const Placement& aPlacement);
  void UpdateInterference(double aExcess,
                          std::size_t aLevel,
                          const Placement& aPlacement);
  void LimitClasses();

  Levels mBaselineMicros{}; ///< 0 = unknown.
  absl::flat_hash_map<std::string, ClassInterference> mClasses;
};

} // namespace foxtailbarrow
