#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Time.h"
#include "src/core/cell/TaskRef.h"
#include "src/core/cell/recovery/ExpectedAgent.h"

namespace foxtailbarrow::cell {

/// Decides which tasks of earlier owners may still run on workers whose agents
/// have not attached since the takeover, so that a second run of them must
/// wait.
///
/// Load pattern: all processes lose power during a replacement of workers. The
/// workers that were about to leave never come back. Without their lists of
/// tasks, all inherited work waits until every lease is over.
///
/// Failures: a record that could not be read counts as open. After `aUntil` all
/// leases of earlier owners are over, and nothing waits any more. Pure.
class UnreportedTasks
{
public:
  /// Replaces the expected agents.
  void Expect(std::vector<ExpectedAgent> aAgents, Instant aUntil);

  /// The agent has reported what runs on its worker.
  void OnReported(const AgentId& aAgent);

  /// True if the task may run on a worker that has not been reported.
  bool MayRun(const TaskRef& aTask, Instant aNow) const;

  /// True if any task may run on a worker that has not been reported.
  bool MayRunAny(Instant aNow) const { return aNow < mUntil && !mOpen.empty(); }

  /// The agents that have not reported, with the number of tasks that their
  /// closed records name; nullopt for an open record.
  std::map<AgentId, std::optional<std::size_t>> Missing(Instant aNow) const;

private:
  std::set<AgentId> mOpen; ///< Agents whose workers may run any task.
  std::map<AgentId, std::set<TaskRef>> mClosed;
  Instant mUntil{};
};

} // namespace foxtailbarrow::cell
