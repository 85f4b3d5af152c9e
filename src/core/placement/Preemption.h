#pragma once

#include <optional>
#include <span>
#include <vector>

#include "foxtailbarrow/Resources.h"
#include "foxtailbarrow/Time.h"
#include "foxtailbarrow/Worker.h"

namespace foxtailbarrow {

/// A batch task that may be evicted.
struct EvictionCandidate
{
  TaskKey mKey;
  Resources mSize;
  Duration mRunTime{};  ///< Since it started: work at risk.
  double mWeight = 1.0; ///< Of evictions in its customer's contract.
};

/// Tasks to evict on one worker.
struct EvictionPlan
{
  std::vector<TaskKey> mVictims;
  double mCost = 0.0; ///< Weighted work at risk; less is better.
};

/// Picks what to evict so that `aNeed` fits beside what stays: the least
/// weighted work, then nobody who need not go. nullopt: even without all the
/// candidates it does not fit. An empty plan: it fits as it is.
std::optional<EvictionPlan> PlanEviction(
  const Resources& aNeed,
  const Resources& aFree,
  std::span<const EvictionCandidate> aCandidates);

} // namespace foxtailbarrow
