#pragma once

#include <optional>

#include "absl/random/bit_gen_ref.h"

#include "src/core/placement/Placer.h"

namespace foxtailbarrow {

/// Baseline: the first worker, in order of registration, that fits.
class FirstFit
{
public:
  std::optional<WorkerSlot> Choose(const PlacementRequest& aRequest,
                                   const WorkerIndex& aWorkers,
                                   const PlacementLoad& aLoad,
                                   absl::BitGenRef aRandom) const;
};

} // namespace foxtailbarrow
