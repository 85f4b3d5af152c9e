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
/// Each level has a calm latency: a quantile of windows without tasks, or what
/// is left of one with tasks after the harm that the model explains. A level
/// first seen beside tasks starts from the next lower level's. A window's
/// excess at a level is its quantile over the calm one, minus 1. The excess is
/// explained as a sum over the tasks of harm of the class times pressure. The
/// harms follow by a Kalman filter with a variance for each class, so that what
/// is new is blamed before what has long run without harm; they are never below
/// 0. A class keeps its harm after its tasks have ended. Classes that always
/// run together cannot be told apart.
class InterferenceModel
{
public:
  /// Takes the latencies of one window and the placement in force over it.
  void Learn(const LatencyWindow& aWindow, const Placement& aPlacement);

  /// Mean excess of a window over the levels with enough requests and a calm
  /// latency; 0 when there are none.
  double ExcessOf(const LatencyWindow& aWindow) const;

  /// Part of the excess that the task is expected to cause at the level.
  double InterferenceOf(const ColocatedTask& aTask, std::size_t aLevel) const;

  /// Sum of InterferenceOf() over the tasks, of those classes alone that were
  /// seen in enough windows of the level to be believed.
  double ExpectedExcess(std::span<const ColocatedTask> aTasks,
                        std::size_t aLevel) const;

  /// The level at which most of the window's requests ran.
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
  void ForgetOneClass();

  Levels mBaselineMicros{}; ///< 0 = not known.
  absl::flat_hash_map<std::string, ClassInterference> mClasses;
};

} // namespace foxtailbarrow
