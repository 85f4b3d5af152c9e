#include "src/core/cell/CrashBlame.h"

#include <algorithm>

#include "src/core/cell/CrashedWorker.h"

namespace foxtailbarrow::cell {

namespace {

bool IsFresh(const CrashWitness& aWitness)
{
  return aWitness.mLived < kFreshLife;
}

bool IsFreshSuspect(const CrashWitness& aWitness)
{
  return IsFresh(aWitness) && aWitness.mSuspect;
}

bool IsUnproven(const CrashWitness& aWitness)
{
  return aWitness.mLived < kProvenLife;
}

} // namespace

std::vector<CrashBlame> JudgeCrash(std::span<const CrashWitness> aWitnesses)
{
  auto* likely = &IsUnproven;
  if (std::ranges::any_of(aWitnesses, IsFreshSuspect)) {
    likely = &IsFreshSuspect;
  } else if (std::ranges::any_of(aWitnesses, IsFresh)) {
    likely = &IsFresh;
  }
  std::vector<CrashBlame> blames;
  blames.reserve(aWitnesses.size());
  for (const CrashWitness& witness : aWitnesses) {
    blames.push_back(likely(witness)       ? CrashBlame::Likely
                     : IsUnproven(witness) ? CrashBlame::Beside
                                           : CrashBlame::None);
  }
  return blames;
}

} // namespace foxtailbarrow::cell
