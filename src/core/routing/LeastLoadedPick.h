#pragma once

#include <span>

#include "absl/random/bit_gen_ref.h"

#include "src/core/routing/Candidate.h"
#include "src/core/routing/CandidateCheck.h"
#include "src/core/routing/PickContext.h"
#include "src/core/routing/RouterSettings.h"

namespace foxtailbarrow {

/// Power of two choices: picks the less loaded of two random backend servers of
/// the entry's own failure domain, unless one drawn from all domains is less
/// loaded by a margin. Falls back to a bounded scan when a few draws find none
/// that can take the request. A server whose ejection is over gets one request
/// at a time as a probe.
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
