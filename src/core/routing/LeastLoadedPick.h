#pragma once

#include <span>

#include "absl/random/bit_gen_ref.h"

#include "src/core/routing/PickContext.h"
#include "src/core/routing/RouterSettings.h"

namespace foxtailbarrow {

/// The policy: of two random backend servers of the entry's own failure domain
/// the less loaded one, unless one drawn from all others is less loaded by a
/// margin. Full and ejected ones are not taken. Where a few draws find nothing,
/// a bounded scan decides. An ejected one whose time is over gets one request
/// at a time as a probe.
class LeastLoadedPick
{
public:
  explicit LeastLoadedPick(RouterSettings aSettings = {})
    : mSettings(aSettings)
  {
  }

  /// Result of Pick(): no agent when all are full, ejected or excluded.
  struct Result
  {
    const RoutableAgent* mAgent = nullptr;
    bool mIsProbe = false;
  };

  Result Pick(const PickContext& aContext, absl::BitGenRef aRandom) const;

  const RouterSettings& Settings() const { return mSettings; }

  /// True when the backend server has no place to wait left.
  bool IsFull(const RoutableAgent& aAgent, Instant aNow) const;

private:
  using Agents = std::span<const RoutableAgentPointer>;

  /// A backend server that may be taken, and its load.
  struct Candidate
  {
    const RoutableAgent* mAgent = nullptr;
    double mLoad = 0.0;
    bool mIsProbe = false;
  };

  Candidate Better(const Candidate& aLeft, const Candidate& aRight) const;
  Candidate Examine(const PickContext& aContext,
                    const RoutableAgent& aAgent) const;
  Candidate BestOfTwo(const PickContext& aContext,
                      Agents aAgents,
                      absl::BitGenRef aRandom) const;
  Candidate Scan(const PickContext& aContext, absl::BitGenRef aRandom) const;
  double Weight(const RoutableAgent& aAgent, Instant aNow) const;

  RouterSettings mSettings;
};

} // namespace foxtailbarrow
