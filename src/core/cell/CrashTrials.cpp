#include "src/core/cell/CrashTrials.h"

#include <algorithm>

namespace foxtailbarrow::cell {

namespace {

constexpr std::size_t kLeast = 2;
constexpr std::size_t kWorkersPerStrong = 8;
constexpr std::size_t kWorkersPerOther = 2;

std::size_t Most(Suspicion aSuspicion, std::size_t aWorkers)
{
  const std::size_t each =
    aSuspicion == Suspicion::Strong ? kWorkersPerStrong : kWorkersPerOther;
  return std::max(kLeast, aWorkers / each);
}

} // namespace

void CrashTrials::Begin(const AgentId& aAgent,
                        const RunRef& aRun,
                        Suspicion aSuspicion)
{
  mTrials.insert_or_assign(aAgent, Trial{ aRun, aSuspicion });
}

void CrashTrials::End(const AgentId& aAgent, const RunRef& aRun)
{
  if (IsTrial(aAgent, aRun)) {
    mTrials.erase(aAgent);
  }
}

bool CrashTrials::IsTrial(const AgentId& aAgent, const RunRef& aRun) const
{
  const auto found = mTrials.find(aAgent);
  return found != mTrials.end() && found->second.mRun == aRun;
}

bool CrashTrials::Takes(const AgentId& aAgent, Suspicion aSuspicion) const
{
  const auto found = mTrials.find(aAgent);
  return found == mTrials.end() ||
         (aSuspicion == Suspicion::None &&
          found->second.mSuspicion == Suspicion::Weak);
}

bool CrashTrials::MayBegin(const RunRef& aRun,
                           Suspicion aSuspicion,
                           std::size_t aWorkers) const
{
  std::size_t alike = 0;
  bool ofGang = false;
  for (const auto& [agent, trial] : mTrials) {
    alike += trial.mSuspicion == aSuspicion ? 1 : 0;
    if (trial.mRun.mTask.mJob != aRun.mTask.mJob) {
      continue;
    }
    if (trial.mRun.mRun != aRun.mRun || trial.mRun.mTask == aRun.mTask) {
      return false;
    }
    ofGang = true;
  }
  return ofGang || alike < Most(aSuspicion, aWorkers);
}

} // namespace foxtailbarrow::cell
