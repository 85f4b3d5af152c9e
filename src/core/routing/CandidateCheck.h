#pragma once

#include "src/core/routing/Candidate.h"
#include "src/core/routing/PickContext.h"
#include "src/core/routing/RouterSettings.h"

namespace foxtailbarrow {

/// Checks whether a backend server can take a request now, and computes its
/// load. One that is excluded, full, or ejected without a probe due cannot.
class CandidateCheck
{
public:
  explicit CandidateCheck(RouterSettings aSettings = {})
    : mSettings(aSettings)
  {
  }

  /// Returns an empty candidate when it cannot take the request.
  Candidate Examine(const PickContext& aContext,
                    const RoutableAgent& aAgent) const;

  /// Call for the picked candidate. Returns false when it is a probe and
  /// another thread already sends one.
  bool Claim(const Candidate& aCandidate, Instant aNow) const;

  const RouterSettings& Settings() const { return mSettings; }

private:
  double Weight(const RoutableAgent& aAgent, Instant aNow) const;

  RouterSettings mSettings;
};

} // namespace foxtailbarrow
