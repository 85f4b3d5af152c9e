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
  Duration mRunTime{};  ///< Since it started: work that may be lost.
  double mWeight = 1.0; ///< Of evictions in its customer's contract.
};

/// Tasks to evict on one worker.
struct EvictionPlan
{
  std::vector<TaskKey> mVictims;
  double mCost = 0.0; ///< Weighted work that may be lost; lower is better.
};

/// Chooses the tasks to evict so that `aNeed` fits: cheapest first by weighted
/// work, then spares those not needed. nullopt if it does not fit even without
/// all candidates; an empty plan if it fits already.
std::optional<EvictionPlan> PlanEviction(
  const Resources& aNeed,
  const Resources& aFree,
  std::span<const EvictionCandidate> aCandidates);

} // namespace foxtailbarrow
