#include "src/core/routing/CandidateCheck.h"

#include <algorithm>

namespace foxtailbarrow {

namespace {

/// A probe is due when the ejection is over and no other probe is in flight.
/// Requests that are not idempotent wait twice as long, so that idempotent
/// ones, if there are any, do the probing.
bool IsProbeDue(const AgentHealth& aHealth, bool aIdempotent, Instant aNow)
{
  const Instant until = aHealth.mEjectedUntil.load(std::memory_order_relaxed);
  const Duration extra =
    aIdempotent ? Duration::zero()
                : aHealth.mEjectionTime.load(std::memory_order_relaxed);
  return aNow >= until + extra &&
         aNow >= aHealth.mProbeUntil.load(std::memory_order_relaxed);
}

} // namespace

Candidate CandidateCheck::Examine(const PickContext& aContext,
                                  const RoutableAgent& aAgent) const
{
  if (aContext.IsExcluded(aAgent)) {
    return {};
  }
  const AgentHealth& health = aAgent.mRoutingState->mHealth;
  if (health.mState.load(std::memory_order_acquire) == HealthState::Ejected) {
    const bool due =
      IsProbeDue(health, aContext.mRequest.mIdempotent, aContext.mNow);
    return due ? Candidate{ &aAgent, 0.0, true } : Candidate{};
  }
  const LoadEstimate load =
    aAgent.mRoutingState->mLoad.Estimate(aContext.mNow, mSettings.mReportDecay);
  if (load.mRequests >= load.mSlots * (1.0 + mSettings.mMaxWaitingPerSlot)) {
    return {};
  }
  const double weight = Weight(aAgent, aContext.mNow);
  return { &aAgent, (load.mRequests + 1.0) / (load.mSlots * weight), false };
}

bool CandidateCheck::Claim(const Candidate& aCandidate, Instant aNow) const
{
  if (!aCandidate.mIsProbe) {
    return true;
  }
  auto& probeUntil = aCandidate.mAgent->mRoutingState->mHealth.mProbeUntil;
  Instant last = probeUntil.load(std::memory_order_relaxed);
  return aNow >= last && probeUntil.compare_exchange_strong(
                           last, aNow + mSettings.mProbeTimeout);
}

double CandidateCheck::Weight(const RoutableAgent& aAgent, Instant aNow) const
{
  const Instant readmitted =
    aAgent.mRoutingState->mHealth.mReadmittedAt.load(std::memory_order_relaxed);
  const Duration age = aNow - std::max(aAgent.mServingSince, readmitted);
  if (age >= mSettings.mSlowStart) {
    return 1.0;
  }
  const double progress = static_cast<double>(age.count()) /
                          static_cast<double>(mSettings.mSlowStart.count());
  return std::max(progress, mSettings.mSlowStartShare);
}

} // namespace foxtailbarrow
