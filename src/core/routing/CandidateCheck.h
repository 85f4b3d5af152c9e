#pragma once

#include "src/core/routing/Candidate.h"
#include "src/core/routing/PickContext.h"
#include "src/core/routing/RouterSettings.h"

namespace foxtailbarrow {

/// Decides whether one backend server may take a request now, and how loaded it
/// is. Not taken: one that is excluded, full, or ejected, unless its probe is
/// due.
class CandidateCheck
{
public:
  explicit CandidateCheck(RouterSettings aSettings = {})
    : mSettings(aSettings)
  {
  }

  /// An empty candidate when it may not be taken.
  Candidate Examine(const PickContext& aContext,
                    const RoutableAgent& aAgent) const;

  /// To be called for the candidate that was chosen; false when it is a probe
  /// and another thread sends one already.
  bool Claim(const Candidate& aCandidate, Instant aNow) const;

  const RouterSettings& Settings() const { return mSettings; }

private:
  double Weight(const RoutableAgent& aAgent, Instant aNow) const;

  RouterSettings mSettings;
};

} // namespace foxtailbarrow
