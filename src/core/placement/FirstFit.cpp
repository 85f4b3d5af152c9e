#include "src/core/placement/FirstFit.h"

namespace foxtailbarrow {

std::optional<WorkerSlot> FirstFit::Choose(const PlacementRequest& aRequest,
                                           const WorkerIndex& aWorkers,
                                           const PlacementLoad& aLoad,
                                           absl::BitGenRef) const
{
  WorkerSlot from = 0;
  while (from < aWorkers.Size()) {
    const auto slot = aWorkers.Find(aRequest.mSize, from);
    if (!slot || *slot < from) {
      return std::nullopt;
    }
    if (IsAcceptable(aRequest, aWorkers, *slot, aLoad)) {
      return slot;
    }
    from = *slot + 1;
  }
  return std::nullopt;
}

} // namespace foxtailbarrow
