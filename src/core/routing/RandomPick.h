#pragma once

#include "absl/random/bit_gen_ref.h"

#include "src/core/routing/PickContext.h"

namespace foxtailbarrow {

/// Baseline: picks uniformly among the routable backend servers.
struct RandomPick
{
  const RoutableAgent* Pick(const PickContext& aContext,
                            absl::BitGenRef aRandom) const;
};

} // namespace foxtailbarrow
