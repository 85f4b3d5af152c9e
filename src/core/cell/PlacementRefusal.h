#pragma once

#include <cstdint>
#include <map>
#include <string_view>

namespace foxtailbarrow::cell {

/// Why a worker does not take a task now.
enum class PlacementRefusal : std::uint8_t
{
  Unfit,          ///< It is away, leaving, avoided, or of another kind.
  NoFreeCapacity, ///< What is reserved leaves too little.
  StalledHere,    ///< The task was stopped there, stalled, a moment ago.
  OnTrial,        ///< A task that may crash the worker has just started there.
  Full,           ///< Leftover tasks there want all that is left and more.
  Interferes,     ///< A serving task there could not bear it alone.
  Crowded,        ///< Nor could it beside the leftover tasks that work there.
  /// It could, but for leftover tasks at a standstill there.
  HeldByStalled,
};

std::string_view ToString(PlacementRefusal aRefusal);

/// Workers by what they refuse a task for.
using RefusalCounts = std::map<PlacementRefusal, int>;

} // namespace foxtailbarrow::cell
