#include "src/core/cell/crashes/CrashBlame.h"

#include <algorithm>

#include "src/core/cell/crashes/CrashedWorker.h"

namespace foxtailbarrow::cell {

namespace {

bool IsFresh(const RunAtCrash& aRun)
{
  return aRun.mUptime < kFreshUptime;
}

bool IsFreshSuspect(const RunAtCrash& aRun)
{
  return IsFresh(aRun) && aRun.mSuspect;
}

bool IsUnproven(const RunAtCrash& aRun)
{
  return aRun.mUptime < kProvenUptime;
}

} // namespace

std::vector<CrashBlame> AssignBlame(std::span<const RunAtCrash> aRuns)
{
  const bool suspects = std::ranges::any_of(aRuns, IsFreshSuspect);
  const bool sole = suspects && std::ranges::count_if(aRuns, IsFresh) == 1;
  std::vector<CrashBlame> blames;
  blames.reserve(aRuns.size());
  for (const RunAtCrash& run : aRuns) {
    const bool likely = suspects ? IsFreshSuspect(run) : IsFresh(run);
    blames.push_back(!IsUnproven(run) ? CrashBlame::None
                     : !likely        ? CrashBlame::Possible
                     : sole           ? CrashBlame::Sole
                                      : CrashBlame::Likely);
  }
  return blames;
}

} // namespace foxtailbarrow::cell
