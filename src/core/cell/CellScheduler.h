#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "foxtailbarrow/Time.h"
#include "src/core/cell/CellClock.h"
#include "src/core/cell/CellDecision.h"
#include "src/core/cell/CellMessages.h"
#include "src/core/cell/CellSettings.h"
#include "src/core/cell/CrashCounters.h"
#include "src/core/cell/CrashTrials.h"
#include "src/core/cell/CrashedWorker.h"
#include "src/core/cell/JobEntry.h"
#include "src/core/cell/LossCause.h"
#include "src/core/cell/RefusedDemands.h"
#include "src/core/cell/UnsavedProgress.h"
#include "src/core/cell/WorkerChoice.h"
#include "src/core/cell/WorkerEntry.h"

namespace foxtailbarrow::cell {

/// Decides what runs where in one cell, as its one owner: jobs, workers and
/// their reports go in; orders for agents, progress to record and ends to
/// acknowledge come out. Pure: no I/O, the clock is passed in.
///
/// Promises: a task without copies has one run at most that may be alive; a
/// worker's reservations never pass its capacity; a step starts after the steps
/// it waits for; an end is acknowledged after its job's progress is recorded.
/// Survives lost and repeated reports, agents that restart, workers that crash,
/// and its own replacement by an owner of a higher generation, which learns
/// from the store and from the agents what was done and what runs.
class CellScheduler
{
public:
  CellScheduler(Generation aGeneration,
                CellSettings aSettings,
                DecisionSink aSink);

  // Configuration.

  /// Replaces the policies; a job of a queue that is gone keeps its last one.
  void SetQueues(const std::vector<QueuePolicy>& aQueues);

  // Jobs.

  /// Takes a job from the store. Without a progress record (revision 0) no task
  /// of it has ever started, since none starts before the record is written;
  /// with one, an earlier owner may have started some. A job that is known
  /// already only takes over a cancellation.
  void AddJob(const StoredJob& aStored,
              const StoredProgress& aProgress,
              Revision aProgressRevision,
              const CellClock& aClock);
  void CancelJob(const JobId& aJob, const CellClock& aClock);
  void DropJob(const JobId& aJob);

  // Workers.

  /// Agents that the previous owner had: until each has attached, or until
  /// `aUntil`, inherited tasks that no agent reports may be running.
  void ExpectAgents(const std::set<AgentId>& aAgents, Instant aUntil);

  /// A session with the agent begins; its state is the whole truth about the
  /// worker.
  void AttachWorker(const AgentId& aAgent,
                    const Endpoint& aEndpoint,
                    Session aSession,
                    const WorkerState& aState,
                    const CellClock& aClock);

  /// False when the report belongs to no session in force, and when the worker
  /// has left for good, which ends its session. One that builds on another
  /// report than the newest is not taken: NeedsFullState() then is true.
  bool HandleReport(const ReportRequest& aReport, const CellClock& aClock);

  /// The agent's next report must tell the whole state.
  bool NeedsFullState(const AgentId& aAgent) const;

  /// The session broke; tasks may run until their leases are over.
  void DetachWorker(const AgentId& aAgent, const CellClock& aClock);

  void OnStartResults(const AgentId& aAgent,
                      Session aSession,
                      const std::vector<StartResult>& aResults,
                      const CellClock& aClock);

  /// True when nothing runs at the agent's worker and nothing will before the
  /// agent attaches again: a next owner need not know of it.
  bool RunsNothing(const AgentId& aAgent) const;

  /// Notes that the agent may hold leases until `aUntil`.
  void OnGrant(const AgentId& aAgent, Instant aUntil);

  // Advice.

  /// The next question to the service that chooses workers, for a step that
  /// cannot be placed without an answer.
  std::optional<AdviceQuery> NextAdviceQuery(const CellClock& aClock);
  /// Nothing: the service did not answer.
  void OnAdvice(const AdviceQuery& aQuery,
                const std::optional<AdviceReply>& aReply,
                const CellClock& aClock);

  // Output.

  /// Ends what has lapsed and places what may run. Orders are then found by
  /// TakeOrders().
  void Schedule(const CellClock& aClock);

  /// True when more may be placed than at the last round: room became free, a
  /// step may begin, a worker is there again. Reports without such news, most
  /// of them, need no round of their own.
  bool NeedsPlacement() const { return mNeedsPlacement; }

  bool HasOrders(const AgentId& aAgent) const
  {
    return mOrders.contains(aAgent);
  }
  /// Agents with orders to carry out.
  std::vector<AgentId> AgentsWithOrders() const;
  /// Removes and returns the orders of an agent, in its session.
  OrderRequest TakeOrders(const AgentId& aAgent);

  /// When the first of the orders' starts was decided on.
  std::optional<Instant> OrderedAt(const OrderRequest& aOrders);

  /// At most `aMaxJobs` jobs whose progress must be recorded.
  std::vector<UnsavedProgress> UnsavedJobs(std::size_t aMaxJobs) const;
  bool HasUnsavedJobs() const { return !mUnsaved.empty(); }
  void OnProgressSaved(const JobId& aJob,
                       std::uint64_t aVersion,
                       Revision aRevision);
  /// A write of the record was sent and is not answered yet.
  void OnProgressSaveInDoubt(const JobId& aJob);
  /// The store has another revision of the record than was thought.
  void SetProgressRevision(const JobId& aJob, Revision aRevision);

  /// What is known of the images on this agent's worker, for its pacing.
  std::vector<InterferenceWeight> InterferenceWeightsOn(
    const AgentId& aAgent) const;

  /// Ends of this agent's worker up to this number are recorded.
  std::int64_t Acknowledged(const AgentId& aAgent);

  // Views.

  /// What a caller is told; nullopt for an unknown job, and for one whose end
  /// only the store can tell. Never ahead of what is recorded.
  std::optional<JobPhase> PhaseOf(const JobId& aJob) const;
  std::int64_t WaitingJobs(const QueueId& aQueue) const;
  /// Jobs that ended and were recorded before `aUnixMs`.
  std::vector<JobId> EndedBefore(std::int64_t aUnixMs) const;

  const std::map<JobId, JobEntry>& Jobs() const { return mJobs; }
  const WorkerTable& Workers() const { return mWorkers; }
  const InterferenceEstimator& Learned() const { return mInterference; }
  void AdoptLearned(const LearnedInterference& aLearned)
  {
    mInterference.Adopt(aLearned);
  }
  Generation OwnGeneration() const { return mGeneration; }
  const CrashCounters& Crashes() const { return mCrashCounters; }
  std::size_t Trials() const { return mTrials.Count(); }

private:
  struct Candidate;

  // Jobs (CellScheduler.cpp).
  void MarkUnsaved(JobEntry& aJob, Instant aNow);
  void StopRuns(JobEntry& aJob, const CellClock& aClock);
  void FinishJob(JobEntry& aJob, JobPhase aPhase, const CellClock& aClock);
  std::uint64_t SavedVersion(const JobId& aJob) const;
  void LogDecision(std::string_view aEvent,
                   const TaskRef& aTask,
                   const AgentId& aAgent,
                   RunNumber aRun,
                   std::string_view aReason,
                   std::int64_t aAgeMs = 0) const;

  // Ends (CellSchedulerEnds.cpp).
  void OnEndedTasks(WorkerEntry& aWorker,
                    const std::vector<EndedTask>& aEnded,
                    const CellClock& aClock);
  std::uint64_t OnEndedTask(WorkerEntry& aWorker,
                            const EndedTask& aEnded,
                            const CellClock& aClock);
  bool IsEndOfInheritedRun(const JobEntry& aJob,
                           const TaskEntry& aTask,
                           const EndedTask& aEnded) const;
  void RecordRunTime(const QueueId& aQueue, Duration aRunTime);
  void ApplyEnd(JobEntry& aJob,
                const EndedTask& aEnded,
                const AgentId& aAgent,
                const CellClock& aClock);
  void MarkDone(JobEntry& aJob, const TaskRef& aTask, const CellClock& aClock);
  void MarkTaskDone(JobEntry& aJob,
                    const TaskRef& aTask,
                    const CellClock& aClock);
  void MarkFailed(JobEntry& aJob,
                  const EndedTask& aEnded,
                  const AgentId& aAgent,
                  const CellClock& aClock);
  std::size_t FailuresOf(JobEntry& aJob, const TaskRef& aTask) const;
  void UpdateFailuresInRow(WorkerEntry& aWorker,
                           const EndedTask& aEnded,
                           const CellClock& aClock);

  // Runs (CellSchedulerRuns.cpp).
  void AddRun(JobEntry& aJob,
              const TaskRef& aTask,
              WorkerEntry& aWorker,
              TaskRun aRun);
  void RemoveRun(JobEntry& aJob,
                 const TaskRef& aTask,
                 const AgentId& aAgent,
                 RunNumber aRun,
                 const CellClock& aClock);
  void StopRun(TaskRun& aRun,
               const TaskRef& aTask,
               std::string_view aReason,
               const CellClock& aClock);
  void StopGang(JobEntry& aJob,
                const TaskRef& aMember,
                RunNumber aRun,
                const CellClock& aClock);
  void OrderStop(WorkerEntry& aWorker,
                 const TaskRef& aTask,
                 RunNumber aRun,
                 std::string_view aReason);
  /// `aAnsweredAt`: the worker's answer that shows them, by the agent's clock.
  void OnRunningTasks(WorkerEntry& aWorker,
                      const std::vector<RunningTask>& aRunning,
                      Duration aAnsweredAt,
                      const CellClock& aClock);
  bool OnRunningTask(WorkerEntry& aWorker,
                     const RunningTask& aRunning,
                     Duration aUptime,
                     const CellClock& aClock);
  bool Adopt(WorkerEntry& aWorker,
             const RunningTask& aRunning,
             const CellClock& aClock);
  void SendMetadata(const WorkerEntry& aWorker);
  void DropAbsentRuns(WorkerEntry& aWorker,
                      const std::vector<RunningTask>& aRunning,
                      std::int64_t aOrdersDone,
                      const CellClock& aClock);
  /// Nothing runs on the worker any more. Unexplained: it may have crashed.
  void OnRunsLost(WorkerEntry& aWorker,
                  std::string_view aReason,
                  LossCause aCause,
                  const CellClock& aClock);
  RunNumber NextRun(const TaskEntry& aTask) const;

  // Workers (CellSchedulerWorkers.cpp).
  /// The worker refused a start: it gets none until it has answered again.
  void MarkUnhealthy(WorkerEntry& aWorker);
  void UpdateInfo(WorkerEntry& aWorker,
                  const WorkerInfo& aInfo,
                  const CellClock& aClock);
  /// Applies the worker's newest report, already merged into its state.
  void ApplyReport(WorkerEntry& aWorker,
                   const ReportRequest& aReport,
                   const CellClock& aClock);
  void Learn(WorkerEntry& aWorker,
             const std::vector<RunningTask>& aRunning,
             const CellClock& aClock);
  void OnReportedCrashes(const WorkerEntry& aWorker,
                         const std::vector<CrashedWorker>& aCrashes,
                         const CellClock& aClock);
  void OnWorkerReplaced(WorkerEntry& aWorker, const CellClock& aClock);
  void OnWorkerEnded(WorkerEntry& aWorker,
                     std::string_view aReason,
                     const CellClock& aClock);
  void ExpireWorkers(const CellClock& aClock);
  void OnWorkerLeft(const ReportRequest& aReport,
                    bool aInSession,
                    const CellClock& aClock);
  void UpdateReachability(WorkerEntry& aWorker,
                          const ReportRequest& aReport,
                          const CellClock& aClock);
  void Evacuate(WorkerEntry& aWorker, const CellClock& aClock);

  // Crashes (CellSchedulerCrashes.cpp).
  TaskEntry* FindOpenTask(const TaskRef& aTask);
  CrashedWorker CrashOf(const WorkerEntry& aWorker);
  void OnWorkerCrash(const AgentId& aAgent,
                     const CrashedWorker& aCrash,
                     const CellClock& aClock);
  /// True when the agent's worker does not answer.
  bool IsUnreachable(const AgentId& aAgent) const;
  void RecordCrash(const AgentId& aAgent,
                   const CrashedRun& aRun,
                   CrashBlame aBlame,
                   const CellClock& aClock);
  void GiveUp(JobEntry& aJob,
              const CrashedRun& aRun,
              const AgentId& aAgent,
              const CellClock& aClock);
  void ClearCrashes(JobEntry& aJob,
                    const TaskRef& aTask,
                    const AgentId& aAgent,
                    RunNumber aRun,
                    const CellClock& aClock);
  void OnRunAlive(JobEntry& aJob,
                  const TaskRef& aTask,
                  const TaskRun& aRun,
                  const CellClock& aClock);
  void RecordUnexplainedLoss(WorkerEntry& aWorker,
                             const TaskRef& aTask,
                             const TaskRun& aRun,
                             Instant aNow);
  void ClearUnexplainedLosses(WorkerEntry& aWorker);
  void RecordStart(JobEntry& aJob, const TaskRef& aTask, const TaskRun& aRun);
  bool CountForgottenStart(const TaskRef& aTask, const CellClock& aClock);
  bool CrashesAllowStart(const JobEntry& aJob,
                         const TaskRef& aTask,
                         Instant aNow) const;

  // Advice (CellSchedulerAdvice.cpp).
  std::vector<WorkerIncarnation> WorkersToQuery(JobEntry& aJob,
                                                const TaskRef& aStep,
                                                Instant aNow) const;

  // Moves (CellSchedulerMoves.cpp).
  void TrackStall(TaskRun& aRun,
                  const StepSpec& aSpec,
                  std::int64_t aFigure,
                  Instant aNow) const;
  bool MayMove(const WorkerEntry& aWorker,
               const TaskRef& aTask,
               RunNumber aRun,
               Instant aNow);
  void MoveStalledTasks(const CellClock& aClock);

  // Waiting work (CellSchedulerWaiting.cpp).
  void OnStepDone(JobEntry& aJob, const TaskRef& aTask);
  void LogLoad() const;
  void LogWaiting(const std::vector<Candidate>& aCandidates,
                  const CellClock& aClock);

  // Placing (CellSchedulerPlacing.cpp).
  void RefreshInterference(WorkerEntry& aWorker, Instant aNow);
  bool Starving(const JobEntry& aJob, const TaskRef& aTask, Instant aNow) const;
  bool MayRunUnreported(const JobEntry& aJob, Instant aNow) const;
  std::vector<Candidate> Candidates(const CellClock& aClock);
  std::vector<Candidate> SortedCandidates(const CellClock& aClock);
  void PlaceStep(const Candidate& aCandidate, const CellClock& aClock);
  void PlaceTasks(JobEntry& aJob,
                  const TaskRef& aFirst,
                  const CellClock& aClock);
  void PlaceGang(JobEntry& aJob,
                 const TaskRef& aFirst,
                 const CellClock& aClock);
  void PlaceCopies(const CellClock& aClock);
  bool NeedsCopy(const JobEntry& aJob,
                 const TaskEntry& aTask,
                 Instant aNow) const;
  bool PlaceTask(JobEntry& aJob,
                 const TaskRef& aTask,
                 RunNumber aRun,
                 const CellClock& aClock);

  // Orders (CellSchedulerOrders.cpp).
  TaskRun* FindRun(const AgentId& aAgent, const StartOrder& aOrder);
  /// Leaves out a start that has not been sent. No effect on one that has.
  void WithdrawStart(const AgentId& aAgent,
                     const TaskRef& aTask,
                     RunNumber aRun);
  StartOrder OrderFor(const JobEntry& aJob,
                      const TaskRef& aTask,
                      RunNumber aRun,
                      const WorkerEntry& aWorker,
                      Instant aNow) const;

  Generation mGeneration;
  CellSettings mSettings;
  DecisionSink mSink;
  std::map<QueueId, QueuePolicy> mQueues;
  /// Mean run time of the tasks of a queue that ended done.
  std::map<QueueId, Duration> mMeanRunTime;
  std::map<JobId, JobEntry> mJobs;
  std::set<JobId> mActiveJobs; ///< Jobs that have not ended.
  std::set<JobId> mUnsaved;
  WorkerTable mWorkers;
  InterferenceEstimator mInterference;
  CrashTrials mTrials;
  CrashCounters mCrashCounters;
  Instant mRunsReviewedAt{};
  Instant mWaitingLoggedAt{};
  RefusedDemands mRefusedDemands; ///< Of the present round of placing.
  double mReservedShare = 0;      ///< At the beginning of that round.
  /// Something ended or joined since: another round may place more.
  bool mNeedsPlacement = false;
  std::map<AgentId, OrderRequest> mOrders;
  std::set<AgentId> mExpectedAgents; ///< Not attached yet since the takeover.
  Instant mExpectedUntil{};
};

} // namespace foxtailbarrow::cell
