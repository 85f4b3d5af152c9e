#include "src/core/routing/LeastLoadedPick.h"

#include <algorithm>
#include <cstddef>

#include "absl/random/uniform_int_distribution.h"

namespace foxtailbarrow {

namespace {

std::size_t DrawBelow(std::size_t aLimit, absl::BitGenRef aRandom)
{
  return absl::uniform_int_distribution<std::size_t>(0, aLimit - 1)(aRandom);
}

/// A probe is due when the ejection is over and no other probe runs. Requests
/// that are not idempotent wait for twice the time, so that where there are
/// others, those do the probing.
bool IsProbeDue(const AgentHealth& aHealth, bool aIdempotent, Instant aNow)
{
  const Instant until = aHealth.mEjectedUntil.load(std::memory_order_relaxed);
  const Duration extra =
    aIdempotent ? Duration::zero()
                : aHealth.mEjectionTime.load(std::memory_order_relaxed);
  return aNow >= until + extra &&
         !aHealth.mProbeInFlight.load(std::memory_order_relaxed);
}

bool ClaimProbe(const RoutableAgent& aAgent)
{
  return !aAgent.mGauges->mHealth.mProbeInFlight.exchange(
    true, std::memory_order_acq_rel);
}

} // namespace

LeastLoadedPick::Result LeastLoadedPick::Pick(const PickContext& aContext,
                                              absl::BitGenRef aRandom) const
{
  const Agents all = aContext.mService.Routable();
  if (all.empty()) {
    return {};
  }
  const Agents local = aContext.mService.InDomain(aContext.mOwnDomain);
  Candidate best = BestOfTwo(aContext, local, aRandom);
  if (local.size() < all.size()) {
    Candidate other = BestOfTwo(aContext, all, aRandom);
    other.mLoad += other.mIsProbe ? 0.0 : mSettings.mDomainMargin;
    best = Better(best, other);
  }
  if (best.mAgent == nullptr) {
    best = Scan(aContext, aRandom);
  }
  if (best.mIsProbe && !ClaimProbe(*best.mAgent)) {
    best = Scan(aContext, aRandom);
    best.mAgent = best.mIsProbe ? nullptr : best.mAgent;
  }
  return { best.mAgent, best.mIsProbe };
}

bool LeastLoadedPick::IsFull(const RoutableAgent& aAgent, Instant aNow) const
{
  const LoadEstimate load =
    aAgent.mGauges->mLoad.Estimate(aNow, mSettings.mReportFade);
  return load.mRequests >= load.mSlots * (1.0 + mSettings.mMaxWaitingPerSlot);
}

LeastLoadedPick::Candidate LeastLoadedPick::Better(
  const Candidate& aLeft,
  const Candidate& aRight) const
{
  if (aLeft.mAgent == nullptr || aRight.mAgent == nullptr) {
    return aLeft.mAgent == nullptr ? aRight : aLeft;
  }
  return aRight.mLoad < aLeft.mLoad ? aRight : aLeft;
}

LeastLoadedPick::Candidate LeastLoadedPick::Examine(
  const PickContext& aContext,
  const RoutableAgent& aAgent) const
{
  if (aContext.IsExcluded(aAgent)) {
    return {};
  }
  const AgentHealth& health = aAgent.mGauges->mHealth;
  if (health.mState.load(std::memory_order_relaxed) == HealthState::Ejected) {
    const bool due =
      IsProbeDue(health, aContext.mRequest.mIdempotent, aContext.mNow);
    return due ? Candidate{ &aAgent, 0.0, true } : Candidate{};
  }
  const LoadEstimate load =
    aAgent.mGauges->mLoad.Estimate(aContext.mNow, mSettings.mReportFade);
  if (load.mRequests >= load.mSlots * (1.0 + mSettings.mMaxWaitingPerSlot)) {
    return {};
  }
  const double weight = Weight(aAgent, aContext.mNow);
  return { &aAgent, (load.mRequests + 1.0) / (load.mSlots * weight), false };
}

LeastLoadedPick::Candidate LeastLoadedPick::BestOfTwo(
  const PickContext& aContext,
  Agents aAgents,
  absl::BitGenRef aRandom) const
{
  Candidate best;
  int found = 0;
  const std::size_t draws = std::min(mSettings.mMaxDraws, aAgents.size() * 2);
  for (std::size_t i = 0; i < draws && found < 2; ++i) {
    const RoutableAgent& agent = *aAgents[DrawBelow(aAgents.size(), aRandom)];
    if (best.mAgent == &agent) {
      continue;
    }
    const Candidate next = Examine(aContext, agent);
    found += next.mAgent != nullptr ? 1 : 0;
    best = Better(best, next);
  }
  return best;
}

LeastLoadedPick::Candidate LeastLoadedPick::Scan(const PickContext& aContext,
                                                 absl::BitGenRef aRandom) const
{
  const Agents all = aContext.mService.Routable();
  const std::size_t first = DrawBelow(all.size(), aRandom);
  const std::size_t count = std::min(all.size(), mSettings.mMaxScan);
  Candidate best;
  for (std::size_t i = 0; i < count; ++i) {
    best = Better(best, Examine(aContext, *all[(first + i) % all.size()]));
  }
  return best;
}

double LeastLoadedPick::Weight(const RoutableAgent& aAgent, Instant aNow) const
{
  const Instant readmitted =
    aAgent.mGauges->mHealth.mReadmittedAt.load(std::memory_order_relaxed);
  const Duration age = aNow - std::max(aAgent.mServingSince, readmitted);
  if (age >= mSettings.mSlowStart) {
    return 1.0;
  }
  const double progress = static_cast<double>(age.count()) /
                          static_cast<double>(mSettings.mSlowStart.count());
  return std::max(progress, mSettings.mSlowStartShare);
}

} // namespace foxtailbarrow
