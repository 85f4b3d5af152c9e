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

} // namespace

Candidate LeastLoadedPick::Pick(const PickContext& aContext,
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
    other.mLoad += other.mIsProbe ? 0.0 : mCheck.Settings().mDomainMargin;
    best = Better(best, other);
  }
  if (!best) {
    best = Scan(aContext, aRandom);
  }
  if (best && !mCheck.Claim(best, aContext.mNow)) {
    best = Scan(aContext, aRandom);
  }
  return best;
}

Candidate LeastLoadedPick::BestOfTwo(const PickContext& aContext,
                                     Agents aAgents,
                                     absl::BitGenRef aRandom) const
{
  constexpr int kChoices = 2;
  Candidate best;
  int found = 0;
  const std::size_t draws =
    std::min(mCheck.Settings().mMaxDraws, aAgents.size() * kChoices);
  for (std::size_t i = 0; i < draws && found < kChoices; ++i) {
    const RoutableAgent& agent = *aAgents[DrawBelow(aAgents.size(), aRandom)];
    if (best.mAgent == &agent) {
      continue;
    }
    const Candidate next = mCheck.Examine(aContext, agent);
    found += next ? 1 : 0;
    best = Better(best, next);
  }
  return best;
}

Candidate LeastLoadedPick::Scan(const PickContext& aContext,
                                absl::BitGenRef aRandom) const
{
  const Agents all = aContext.mService.Routable();
  const std::size_t first = DrawBelow(all.size(), aRandom);
  const std::size_t count = std::min(all.size(), mCheck.Settings().mMaxScan);
  Candidate best;
  for (std::size_t i = 0; i < count; ++i) {
    const RoutableAgent& agent = *all[(first + i) % all.size()];
    const Candidate next = mCheck.Examine(aContext, agent);
    if (!next.mIsProbe) {
      best = Better(best, next);
    }
  }
  return best;
}

} // namespace foxtailbarrow
