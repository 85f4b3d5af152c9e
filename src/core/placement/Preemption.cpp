#include "src/core/placement/Preemption.h"

#include <algorithm>
#include <chrono>

namespace foxtailbarrow {

namespace {

/// Includes a fixed cost per eviction, regardless of the run time.
double CostOf(const EvictionCandidate& aCandidate)
{
  using Seconds = std::chrono::duration<double>;
  constexpr double kFixedSeconds = 10.0;
  return aCandidate.mWeight *
         (kFixedSeconds + Seconds(aCandidate.mRunTime).count());
}

bool Cheaper(const EvictionCandidate* aLeft, const EvictionCandidate* aRight)
{
  const double left = CostOf(*aLeft);
  const double right = CostOf(*aRight);
  return left != right ? left < right : aLeft->mKey < aRight->mKey;
}

} // namespace

std::optional<EvictionPlan> PlanEviction(
  const Resources& aNeed,
  const Resources& aFree,
  std::span<const EvictionCandidate> aCandidates)
{
  std::vector<const EvictionCandidate*> order;
  order.reserve(aCandidates.size());
  for (const EvictionCandidate& candidate : aCandidates) {
    order.push_back(&candidate);
  }
  std::ranges::sort(order, Cheaper);
  Resources free = aFree;
  std::vector<const EvictionCandidate*> victims;
  for (const EvictionCandidate* candidate : order) {
    if (aNeed.FitsIn(free)) {
      break;
    }
    free += candidate->mSize;
    victims.push_back(candidate);
  }
  if (!aNeed.FitsIn(free)) {
    return std::nullopt;
  }
  EvictionPlan plan;
  std::ranges::reverse(victims);
  for (const EvictionCandidate* victim : victims) {
    if (aNeed.FitsIn(free - victim->mSize)) {
      free -= victim->mSize;
      continue;
    }
    plan.mVictims.push_back(victim->mKey);
    plan.mCost += CostOf(*victim);
  }
  return plan;
}

} // namespace foxtailbarrow
