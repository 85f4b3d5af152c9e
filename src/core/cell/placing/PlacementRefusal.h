#pragma once

#include <cstdint>
#include <map>
#include <string_view>
#include <variant>

#include "src/core/cell/workers/WorkerBlock.h"

namespace foxtailbarrow::cell {

/// Why a worker that takes tasks does not accept this one now.
enum class PlacementRefusal : std::uint8_t
{
  Unfit,          ///< Of another kind, or it runs enough tasks of the step.
  NoFreeCapacity, ///< Too little capacity is unreserved.
  StalledHere,    ///< The task was recently stopped there as stalled.
  /// A trial runs or is reserved there, or a recent start rules one out.
  OnTrial,
  Full,       ///< Its best-effort tasks demand more than is available.
  Interferes, ///< The task alone interferes too much with a serving task.
  Crowded,    ///< It does so together with running best-effort tasks.
  /// It does so only if stalled best-effort tasks are counted as well.
  BlockedByStalled,
};

std::string_view ToString(PlacementRefusal aRefusal);

/// A reason of the worker alone, or of the task on it.
using RefusalReason = std::variant<WorkerBlock, PlacementRefusal>;

std::string_view ToString(const RefusalReason& aReason);

/// Number of workers by why they refuse a task.
using RefusalCounts = std::map<RefusalReason, int>;

} // namespace foxtailbarrow::cell
