#include "src/core/cell/recovery/UnreportedTasks.h"

#include <algorithm>
#include <utility>

namespace foxtailbarrow::cell {

void UnreportedTasks::Expect(std::vector<ExpectedAgent> aAgents, Instant aUntil)
{
  mOpen.clear();
  mClosed.clear();
  mUntil = aUntil;
  for (ExpectedAgent& agent : aAgents) {
    if (agent.mRecordClosed) {
      mClosed[std::move(agent.mAgent)].insert(agent.mTasks.begin(),
                                              agent.mTasks.end());
    } else {
      mOpen.insert(std::move(agent.mAgent));
    }
  }
}

void UnreportedTasks::OnReported(const AgentId& aAgent)
{
  mOpen.erase(aAgent);
  mClosed.erase(aAgent);
}

bool UnreportedTasks::MayRun(const TaskRef& aTask, Instant aNow) const
{
  if (aNow >= mUntil) {
    return false;
  }
  return !mOpen.empty() ||
         std::ranges::any_of(mClosed, [&](const auto& aEntry) {
           return aEntry.second.contains(aTask);
         });
}

std::map<AgentId, std::optional<std::size_t>> UnreportedTasks::Missing(
  Instant aNow) const
{
  std::map<AgentId, std::optional<std::size_t>> missing;
  if (aNow >= mUntil) {
    return missing;
  }
  for (const AgentId& agent : mOpen) {
    missing.emplace(agent, std::nullopt);
  }
  for (const auto& [agent, tasks] : mClosed) {
    missing.emplace(agent, tasks.size());
  }
  return missing;
}

} // namespace foxtailbarrow::cell
