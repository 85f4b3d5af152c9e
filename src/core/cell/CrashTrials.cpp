#include "src/core/cell/CrashTrials.h"

#include <algorithm>

namespace foxtailbarrow::cell {

namespace {

constexpr std::size_t kWorkersPerTrial = 8;
constexpr std::size_t kLeastTrials = 2;

} // namespace

void CrashTrials::Begin(const AgentId& aAgent, const RunRef& aRun)
{
  mTrials.insert_or_assign(aAgent, aRun);
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
  return found != mTrials.end() && found->second == aRun;
}

bool CrashTrials::MayBegin(const RunRef& aRun, std::size_t aWorkers) const
{
  bool ofGang = false;
  for (const auto& [agent, other] : mTrials) {
    if (other.mTask.mJob != aRun.mTask.mJob) {
      continue;
    }
    if (other.mRun != aRun.mRun || other.mTask == aRun.mTask) {
      return false;
    }
    ofGang = true;
  }
  return ofGang ||
         mTrials.size() < std::max(kLeastTrials, aWorkers / kWorkersPerTrial);
}

} // namespace foxtailbarrow::cell
