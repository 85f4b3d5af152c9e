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
  const bool suspects = std::ranges::any_of(aWitnesses, IsFreshSuspect);
  const bool alone =
    suspects && std::ranges::count_if(aWitnesses, IsFresh) == 1;
  std::vector<CrashBlame> blames;
  blames.reserve(aWitnesses.size());
  for (const CrashWitness& witness : aWitnesses) {
    const bool likely = suspects ? IsFreshSuspect(witness) : IsFresh(witness);
    blames.push_back(!IsUnproven(witness) ? CrashBlame::None
                     : !likely            ? CrashBlame::Beside
                     : alone              ? CrashBlame::Alone
                                          : CrashBlame::Likely);
  }
  return blames;
}

} // namespace foxtailbarrow::cell
