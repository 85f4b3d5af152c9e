#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

#include "foxtailbarrow/Id.h"
#include "src/core/cell/TaskRef.h"

namespace foxtailbarrow::cell {

/// How much speaks against a task that is started.
enum class Suspicion : std::uint8_t
{
  None,
  Weak,    ///< One crash, of which others may be the cause as well.
  Unclear, ///< It was there several times when others were likelier.
  Strong,  ///< Several crashes.
};

/// Starts of suspects that have not lived for long enough yet: one a worker, so
/// that a crash speaks against one task. Beside a weak suspect, which is tried
/// for kFreshLife, other tasks are started; beside the others, which are tried
/// for kProvenLife, none. Pure.
class CrashTrials
{
public:
  void Begin(const AgentId& aAgent, const RunRef& aRun, Suspicion aSuspicion);
  /// Nothing happens when another run is on trial there.
  void End(const AgentId& aAgent, const RunRef& aRun);

  bool IsTrial(const AgentId& aAgent, const RunRef& aRun) const;
  /// True when the worker may get a start of such a task.
  bool Takes(const AgentId& aAgent, Suspicion aSuspicion) const;

  /// True when one more may begin, given the number of workers. One a job, so
  /// that a job risks one worker; but all members of a gang begin under one run
  /// number. Of strong suspects, which will likely crash their workers, an
  /// eighth of the workers; of each other kind, most of which only started
  /// beside the cause, half: with two at a time of five workers, crashes that
  /// had made 150 suspects left 48 jobs waiting for over 25 s. Two at least.
  bool MayBegin(const RunRef& aRun,
                Suspicion aSuspicion,
                std::size_t aWorkers) const;

  std::size_t Count() const { return mTrials.size(); }

private:
  struct Trial
  {
    RunRef mRun;
    Suspicion mSuspicion = Suspicion::None;
  };

  std::map<AgentId, Trial> mTrials;
};

} // namespace foxtailbarrow::cell
