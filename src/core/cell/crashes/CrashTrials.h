#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Time.h"
#include "src/core/cell/JobGraph.h"
#include "src/core/cell/TaskRef.h"

namespace foxtailbarrow::cell {

/// How strongly a task is suspected of crashing its workers.
enum class Suspicion : std::uint8_t
{
  None,
  Weak,    ///< One crash that other tasks may have caused as well.
  Unclear, ///< Several crashes with likelier causes.
  Strong,  ///< Several likely crashes, or one as the sole likely cause.
};

/// True if the suspect must be tried without any other possible cause.
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
  bool mGang = false; ///< A member of a gang, which starts with the others.
};

/// Trials: starts of suspects that are not proven yet. There is one per worker,
/// so that a crash is evidence against one task. Members of a gang are one
/// suspect: they only run together, so that keeping them apart would keep them
/// from running where they outnumber the workers. Other tasks may start on the
/// worker of a weak suspect, which is tried for kFreshUptime, but not on that
/// of any other suspect, which is tried for kProvenUptime. Pure.
///
/// If every worker has started something recently, one is reserved for a
/// suspect that needs an isolated trial: nothing else starts there until the
/// trial can begin. A trial whose crash may have other causes as well costs one
/// more start.
///
/// A gang needs several workers at a time, while trials of others, one after
/// the other, may always occupy some. A gang that cannot start beside trials
/// gets a turn, in which none of another suspect begins, so that all workers
/// are free of trials after kGangTurnTime at the latest. Turns alternate with
/// equally long times for the others, so that each of N waiting gangs gets one
/// within 2 N kGangTurnTime, and the others wait for kGangTurnTime at most.
class CrashTrials
{
public:
  /// Longer than kFreshUptime and the delay of the report that shows it.
  static constexpr Duration kReservationTime = std::chrono::milliseconds(2000);

  /// How long a planned trial keeps its worker and its place. Longer than a
  /// save takes while the store answers; otherwise the worker would idle.
  static constexpr Duration kPlanTime = std::chrono::milliseconds(500);

  /// How long a rejected queue keeps its claim to the next free trial.
  static constexpr Duration kTurnTime = std::chrono::milliseconds(1000);

  /// Longest turn of a gang. Trials that have begun end within kProvenUptime
  /// and the delay of the report that shows it.
  static constexpr Duration kGangTurnTime = std::chrono::milliseconds(2000);

  /// Keeps the worker and a place among the trials while the start is saved,
  /// for kPlanTime.
  void Plan(const AgentId& aAgent, const SuspectStart& aStart, Instant aNow);
  void Begin(const AgentId& aAgent, const SuspectStart& aStart);
  /// No effect if another run is on trial on the worker.
  void End(const AgentId& aAgent, const RunRef& aRun);

  bool IsTrial(const AgentId& aAgent, const RunRef& aRun) const;
  /// True if the task, suspected or not, may start on the worker. `aGangRun`:
  /// number of the run for a member of a gang, else 0.
  bool AllowsStart(const AgentId& aAgent,
                   const TaskRef& aTask,
                   Suspicion aSuspicion,
                   Instant aNow,
                   RunNumber aGangRun = 0) const;

  /// The gang of this member could not start. Returns true if it now has the
  /// turn and did not have it before.
  bool ClaimTurn(const TaskRef& aMember, Instant aNow);
  /// The gang has started.
  void EndTurn(const TaskRef& aMember, Instant aNow);

  /// True if one more trial may begin, given the number of workers. A job has
  /// one trial at a time, so that it risks one worker; members of a gang share
  /// a run number and begin together. Strong suspects, which will likely crash
  /// their workers, may use an eighth of the workers. Each other kind may use
  /// half, since most of these were only colocated with the cause and their
  /// jobs wait meanwhile. The limit is at least two.
  ///
  /// While suspects of another queue wait, a queue may use half of its limit,
  /// so that a queue whose tasks keep crashing workers does not stop the tasks
  /// of others from being cleared.
  bool MayBegin(const SuspectStart& aStart, std::size_t aWorkers, Instant aNow);

  /// Reserves the worker for the task, for kReservationTime. Returns false if
  /// the task or the worker has a reservation already, or if the limit of
  /// strong trials is reached.
  bool Reserve(const AgentId& aAgent,
               const TaskRef& aTask,
               std::size_t aWorkers,
               Instant aNow);

  /// Number of workers with a trial.
  std::size_t Count() const { return mTrials.size(); }

private:
  struct PlannedTrial
  {
    SuspectStart mStart;
    Instant mUntil{};
  };
  struct Reservation
  {
    TaskRef mTask;
    Instant mUntil{};
  };

  /// A gang that waits for its turn.
  struct Claim
  {
    Instant mSince{};
    Instant mSeenAt{};
  };
  /// Identifies the gang of a member.
  static TaskRef GangOf(TaskRef aMember)
  {
    aMember.mIndex = 0;
    return aMember;
  }
  /// True if the trial is of the same run of the same gang.
  static bool IsOfGang(const SuspectStart& aTrial,
                       const TaskRef& aTask,
                       RunNumber aGangRun);
  /// True if the other gang's turn rules out a trial of this task.
  bool AwaitsTurn(const TaskRef& aTask, Instant aNow) const;
  bool HasTurn(const TaskRef& aTask, Instant aNow) const;

  /// Trials that have begun, one per worker, and those that are planned for
  /// other tasks.
  std::vector<const SuspectStart*> TrialsBeside(const TaskRef& aTask,
                                                Instant aNow) const;
  /// True if a suspect of the same kind of another queue was rejected recently.
  bool OtherQueuesWait(const SuspectStart& aStart, Instant aNow) const;

  /// Several for the members of one gang only.
  std::map<AgentId, std::vector<SuspectStart>> mTrials;
  std::map<AgentId, PlannedTrial> mPlanned;
  /// When suspects were last rejected for the limit.
  std::map<std::pair<QueueId, Suspicion>, Instant> mRejectedAt;
  std::map<AgentId, Reservation> mReserved;
  std::map<TaskRef, Claim> mClaims; ///< By GangOf().
  TaskRef mTurn;                    ///< The gang with the newest turn.
  Instant mTurnBegan{};
  Instant mTurnUntil{};
};

} // namespace foxtailbarrow::cell
