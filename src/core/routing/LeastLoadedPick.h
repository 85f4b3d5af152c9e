#pragma once

#include <span>

#include "absl/random/bit_gen_ref.h"

#include "src/core/routing/Candidate.h"
#include "src/core/routing/CandidateCheck.h"
#include "src/core/routing/PickContext.h"
#include "src/core/routing/RouterSettings.h"

namespace foxtailbarrow {

/// The policy: of two random backend servers of the entry's own failure domain
/// the less loaded one, unless one drawn from all is less loaded by a margin.
/// Where a few draws find none that may be taken, a bounded scan decides. An
/// ejected one whose time is over gets one request at a time as a probe.
class LeastLoadedPick
{
public:
  explicit LeastLoadedPick(RouterSettings aSettings = {})
    : mCheck(aSettings)
  {
  }

  /// Empty when all are full, ejected or excluded.
  Candidate Pick(const PickContext& aContext, absl::BitGenRef aRandom) const;

private:
  using Agents = std::span<const RoutableAgentPointer>;

  Candidate BestOfTwo(const PickContext& aContext,
                      Agents aAgents,
                      absl::BitGenRef aRandom) const;
  Candidate Scan(const PickContext& aContext, absl::BitGenRef aRandom) const;

  CandidateCheck mCheck;
};

} // namespace foxtailbarrow
