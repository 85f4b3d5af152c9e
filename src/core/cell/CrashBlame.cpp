#include "src/core/cell/CrashBlame.h"

#include <algorithm>

#include "src/core/cell/CrashedWorker.h"

namespace foxtailbarrow::cell {

namespace {

bool IsFresh(const RunAtCrash& aWitness)
{
  return aWitness.mUptime < kFreshUptime;
}

bool IsFreshSuspect(const RunAtCrash& aWitness)
{
  return IsFresh(aWitness) && aWitness.mSuspect;
}

bool IsUnproven(const RunAtCrash& aWitness)
{
  return aWitness.mUptime < kProvenUptime;
}

} // namespace

std::vector<CrashBlame> AssignBlame(std::span<const RunAtCrash> aWitnesses)
{
  const bool suspects = std::ranges::any_of(aWitnesses, IsFreshSuspect);
  const bool alone =
    suspects && std::ranges::count_if(aWitnesses, IsFresh) == 1;
  std::vector<CrashBlame> blames;
  blames.reserve(aWitnesses.size());
  for (const RunAtCrash& witness : aWitnesses) {
    const bool likely = suspects ? IsFreshSuspect(witness) : IsFresh(witness);
    blames.push_back(!IsUnproven(witness) ? CrashBlame::None
                     : !likely            ? CrashBlame::Possible
                     : alone              ? CrashBlame::Sole
                                          : CrashBlame::Likely);
  }
  return blames;
}

} // namespace foxtailbarrow::cell
