#pragma once

#include <map>
#include <span>

#include "foxtailbarrow/Resources.h"
#include "src/core/cell/TaskRef.h"

namespace foxtailbarrow::cell {

/// The last look at a worker's room before a start is sent, by its agent, which
/// hears of a smaller capacity up to a report earlier than the cell's owner.
/// Without it starts that were ordered meanwhile brought the worker over its
/// capacity: four of four in the test of a worker that shrank to nothing. Pure.
class CapacityGate
{
public:
  /// What a task reserves that the agent did not start itself.
  void SetReservation(const TaskRef& aTask, const Resources& aReserved);

  /// True when the start fits the capacity beside what is there: what runs, is
  /// being stopped, or was sent in this session and has no answer yet. A task
  /// that nothing is known of counts as nothing; the owner has counted it.
  bool Admits(const Resources& aCapacity,
              std::span<const TaskRef> aThere,
              const TaskRef& aTask,
              const Resources& aReserved);

private:
  std::map<TaskRef, Resources> mReserved;
};

} // namespace foxtailbarrow::cell
