#pragma once

#include <optional>
#include <variant>

#include "absl/random/bit_gen_ref.h"

#include "src/core/placement/FirstFit.h"
#include "src/core/placement/Placer.h"
#include "src/core/placement/RandomFit.h"

namespace foxtailbarrow {

/// How a worker is chosen. FirstFit and RandomFit are baselines for comparison.
using PlacementPolicy = std::variant<Placer, FirstFit, RandomFit>;

inline std::optional<WorkerSlot> Choose(const PlacementPolicy& aPolicy,
                                        const PlacementRequest& aRequest,
                                        const WorkerIndex& aWorkers,
                                        const PlacementLoad& aLoad,
                                        absl::BitGenRef aRandom)
{
  return std::visit(
    [&](const auto& aKind) {
      return aKind.Choose(aRequest, aWorkers, aLoad, aRandom);
    },
    aPolicy);
}

} // namespace foxtailbarrow
