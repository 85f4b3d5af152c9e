#include "src/core/cell/workers/CapacityGate.h"

#include <algorithm>

namespace foxtailbarrow::cell {

void CapacityGate::SetReservation(const TaskRef& aTask,
                                  const Resources& aReserved)
{
  mReserved.insert_or_assign(aTask, aReserved);
}

bool CapacityGate::Admits(const Resources& aCapacity,
                          std::span<const TaskRef> aPresent,
                          const TaskRef& aTask,
                          const Resources& aReserved)
{
  std::erase_if(mReserved, [aPresent](const auto& aEntry) {
    return std::ranges::find(aPresent, aEntry.first) == aPresent.end();
  });
  Resources used = aReserved;
  for (const auto& [task, reserved] : mReserved) {
    used += reserved;
  }
  if (!used.FitsIn(aCapacity)) {
    return false;
  }
  mReserved.insert_or_assign(aTask, aReserved);
  return true;
}

} // namespace foxtailbarrow::cell
