#pragma once

#include "absl/random/bit_gen_ref.h"

#include "src/core/routing/PickContext.h"

namespace foxtailbarrow {

/// Baseline: any routable backend server, each with the same probability.
struct RandomPick
{
  const RoutableAgent* Pick(const PickContext& aContext,
                            absl::BitGenRef aRandom) const;
};

} // namespace foxtailbarrow
