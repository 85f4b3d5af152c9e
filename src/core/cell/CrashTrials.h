#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>

#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Time.h"
#include "src/core/cell/JobGraph.h"
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

/// Such a suspect is tried with nothing else that could be the cause.
constexpr bool NeedsIsolatedTrial(Suspicion aSuspicion)
{
  return aSuspicion == Suspicion::Unclear || aSuspicion == Suspicion::Strong;
}

/// A start of a suspect.
struct SuspectStart
{
  RunRef mRun;
  QueueId mQueue;
  Suspicion mSuspicion = Suspicion::None;
};

/// Starts of suspects that have not lived for long enough yet: one a worker, so
/// that a crash speaks against one task. Beside a weak suspect, which is tried
/// for kFreshUptime, other tasks are started; beside the others, which are
/// tried for kProvenUptime, none. Pure.
///
/// Where every worker has started something lately, one is reserved for such a
/// suspect: nothing else is started there until it can be tried apart. A crash
/// of a trial that speaks against others as well costs one start more.
class CrashTrials
{
public:
  /// Above kFreshUptime and the time until a report shows it.
  static constexpr Duration kReservationTime = std::chrono::milliseconds(2000);

  /// A queue that was turned away waits for its turn so long.
  static constexpr Duration kTurnTime = std::chrono::milliseconds(1000);

  void Begin(const AgentId& aAgent, const SuspectStart& aStart);
  /// Nothing happens when another run is on trial there.
  void End(const AgentId& aAgent, const RunRef& aRun);

  bool IsTrial(const AgentId& aAgent, const RunRef& aRun) const;
  /// True when the worker may get a start of the task.
  bool AllowsStart(const AgentId& aAgent,
                   const TaskRef& aTask,
                   Suspicion aSuspicion,
                   Instant aNow) const;

  /// True when one more may begin, given the number of workers. One a job, so
  /// that a job risks one worker; but all members of a gang begin under one run
  /// number. Of strong suspects, which will likely crash their workers, an
  /// eighth of the workers; of each other kind, most of which only started
  /// beside the cause, half, as their jobs wait meanwhile. Two at least.
  ///
  /// While suspects of another queue wait for their turn, a queue has half of
  /// these at most: one whose tasks crash workers again and again does not keep
  /// the tasks of others from being cleared.
  bool MayBegin(const SuspectStart& aStart, std::size_t aWorkers, Instant aNow);

  /// Keeps a worker for the task, for kReservationTime. False when one is kept
  /// for it already, or as many as may be on trial.
  bool Reserve(const AgentId& aAgent,
               const TaskRef& aTask,
               std::size_t aWorkers,
               Instant aNow);

  std::size_t Count() const { return mTrials.size(); }

private:
  struct Reservation
  {
    TaskRef mTask;
    Instant mUntil{};
  };

  /// Another queue's suspects of that kind have lately found no place.
  bool OtherQueuesWait(const SuspectStart& aStart, Instant aNow) const;

  std::map<AgentId, SuspectStart> mTrials;
  /// When suspects found no place last.
  std::map<std::pair<QueueId, Suspicion>, Instant> mRejectedAt;
  std::map<AgentId, Reservation> mReserved;
};

} // namespace foxtailbarrow::cell
