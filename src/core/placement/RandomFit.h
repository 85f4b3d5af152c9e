#pragma once

#include <optional>

#include "absl/random/bit_gen_ref.h"

#include "src/core/placement/Placer.h"

namespace foxtailbarrow {

/// Baseline: a random worker that fits, searched from a random slot.
class RandomFit
{
public:
  std::optional<WorkerSlot> Choose(const PlacementRequest& aRequest,
                                   const WorkerIndex& aWorkers,
                                   const PlacementLoad& aLoad,
                                   absl::BitGenRef aRandom) const
  {
    Placer::Settings settings;
    settings.mSamples = 1;
    return Placer(settings).Choose(aRequest, aWorkers, aLoad, aRandom);
  }
};

} // namespace foxtailbarrow
