#pragma once

#include <cstddef>
#include <map>

#include "foxtailbarrow/Id.h"
#include "src/core/cell/TaskRef.h"

namespace foxtailbarrow::cell {

/// Starts of suspects that have not lived for kFreshLife yet. Nothing else is
/// started on such a worker, so that a crash speaks against one task; and few
/// workers are risked at a time. Pure.
class CrashTrials
{
public:
  void Begin(const AgentId& aAgent, const RunRef& aRun);
  /// Nothing happens when another run is on trial there.
  void End(const AgentId& aAgent, const RunRef& aRun);

  bool On(const AgentId& aAgent) const { return mTrials.contains(aAgent); }
  bool IsTrial(const AgentId& aAgent, const RunRef& aRun) const;

  /// True when one more may begin: one a job at a time, but that all members of
  /// a gang begin under one run number, and an eighth of the workers, two at
  /// least. One job risks one worker; a rack's crash, which makes suspects of
  /// all that had just started there, must not bring down the cell. Eleven
  /// workers try two suspects in each 0.5 s to 1 s.
  bool MayBegin(const RunRef& aRun, std::size_t aWorkers) const;

  std::size_t Count() const { return mTrials.size(); }

private:
  std::map<AgentId, RunRef> mTrials;
};

} // namespace foxtailbarrow::cell
