#pragma once

#include <map>
#include <span>

#include "foxtailbarrow/Resources.h"
#include "src/core/cell/TaskRef.h"

namespace foxtailbarrow::cell {

/// The agent's last check of a worker's free capacity before it sends a start.
/// The agent learns of a smaller capacity up to one report before the owner,
/// and starts ordered in between would exceed it: without this check all four
/// starts in the test of a worker that shrinks to zero did. Pure.
class CapacityGate
{
public:
  /// Sets the reservation of a task that the agent did not start itself.
  void SetReservation(const TaskRef& aTask, const Resources& aReserved);

  /// True if the start fits the capacity next to `aPresent`: tasks that run,
  /// are being stopped, or were sent in this session and not answered yet.
  /// Tasks with an unknown reservation count as zero; the owner has counted
  /// them.
  bool Admits(const Resources& aCapacity,
              std::span<const TaskRef> aPresent,
              const TaskRef& aTask,
              const Resources& aReserved);

private:
  std::map<TaskRef, Resources> mReserved;
};

} // namespace foxtailbarrow::cell
