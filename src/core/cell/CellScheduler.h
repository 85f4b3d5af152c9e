#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <utility>
#include <vector>

#include "foxtailbarrow/Time.h"
#include "src/core/cell/CellClock.h"
#include "src/core/cell/CellDecision.h"
#include "src/core/cell/CellMessages.h"
#include "src/core/cell/CellSettings.h"
#include "src/core/cell/JobEntry.h"
#include "src/core/cell/crashes/CrashCounters.h"
#include "src/core/cell/crashes/CrashTrials.h"
#include "src/core/cell/crashes/CrashedWorker.h"
#include "src/core/cell/crashes/LossCause.h"
#include "src/core/cell/placing/RefusedDemands.h"
#include "src/core/cell/placing/WorkerChoice.h"
#include "src/core/cell/records/UnsavedProgress.h"
#include "src/core/cell/recovery/UnreportedTasks.h"
#include "src/core/cell/workers/WorkerEntry.h"

namespace foxtailbarrow::cell {

class StepChoices;

/// Decides which tasks run on which workers of one cell, on behalf of the
/// cell's single owner. Input: jobs, workers and their reports. Output: orders
/// for agents, progress to save and ends to acknowledge. Pure: no I/O, the
/// clock is passed in.
///
/// Guarantees: a task without copies has at most one run that may be alive; the
/// reservations on a worker never exceed its capacity; a step starts after the
/// steps that it depends on; an end is acknowledged only after its job's
/// progress is saved. Tolerates lost and repeated reports, restarts of agents,
/// crashes of workers, and its own replacement by an owner of a higher
/// generation, which restores the state from the store and the agents.
class CellScheduler
{
public:
  CellScheduler(Generation aGeneration,
                CellSettings aSettings,
                DecisionSink aSink);

  // Configuration.

  /// Replaces the policies; a job of a removed queue keeps its last one.
  void SetQueues(const std::vector<QueuePolicy>& aQueues);

  /// Sets the failure domains in which nothing may start. Starts that were not
  /// sent are withdrawn; what runs there goes on.
  void SetCordonedDomains(std::set<FailureDomainId> aDomains,
                          const CellClock& aClock);

  // Jobs.

  /// Adds a job read from the store. Without a progress record (revision 0) no
  /// task of it has ever started, since none starts before the record is
  /// written; with one, an earlier owner may have started some. For a known job
  /// only a cancellation is applied.
  void AddJob(const StoredJob& aStored,
              const StoredProgress& aProgress,
              Revision aProgressRevision,
              const CellClock& aClock);
  void CancelJob(const JobId& aJob, const CellClock& aClock);
  void DropJob(const JobId& aJob);

  // Workers.

  /// Sets the agents of the previous owner. Until each has attached, or until
  /// `aUntil`, inherited tasks that no agent reports may be running there.
  void ExpectAgents(std::vector<ExpectedAgent> aAgents, Instant aUntil)
  {
    mUnreported.Expect(std::move(aAgents), aUntil);
  }

  /// While the record of its agent is closed, nothing starts on the worker.
  void SetRecordClosed(const AgentId& aAgent, bool aClosed);

  /// Begins a session with the agent. `aState` is the worker's full state.
  void AttachWorker(const AgentId& aAgent,
                    const Endpoint& aEndpoint,
                    Session aSession,
                    const WorkerState& aState,
                    const CellClock& aClock);

  /// Returns false when the report belongs to no current session, and when the
  /// worker has left for good, which ends its session. A report that is not
  /// based on the newest one is ignored: NeedsFullState() is true afterwards.
  bool HandleReport(const ReportRequest& aReport, const CellClock& aClock);

  /// True when the agent's next report must contain the full state.
  bool NeedsFullState(const AgentId& aAgent) const;

  /// Ends the session; its tasks may run until their leases expire.
  void DetachWorker(const AgentId& aAgent, const CellClock& aClock);

  void OnStartResults(const AgentId& aAgent,
                      Session aSession,
                      const std::vector<StartResult>& aResults,
                      const CellClock& aClock);

  /// True when nothing runs on the agent's worker and nothing can start there
  /// before the agent attaches again: the next owner need not expect it.
  bool RunsNothing(const AgentId& aAgent) const;

  /// The tasks that a closed record of the agent has to name (RecordClosing.h);
  /// none for an agent that has not attached in this term.
  std::vector<TaskRef> TasksToAwait(const AgentId& aAgent) const;

  /// No other scheduler owned the cell at `aSentAt`: a read sent then found the
  /// cell's record unchanged.
  void OnOwnershipConfirmed(Instant aSentAt)
  {
    mConfirmedAt = std::max(mConfirmedAt, aSentAt);
  }

  /// The agent may hold leases until `aUntil`.
  void OnGrant(const AgentId& aAgent, Instant aUntil);

  // Advice.

  /// The next query to the service that chooses workers, for a step that cannot
  /// be placed without its reply.
  std::optional<AdviceQuery> NextAdviceQuery(const CellClock& aClock);
  /// `aReply` is nullopt when the service did not answer.
  void OnAdvice(const AdviceQuery& aQuery,
                const std::optional<AdviceReply>& aReply,
                const CellClock& aClock);

  // Output.

  /// Expires workers whose leases have ended and places tasks. TakeOrders()
  /// then returns the orders.
  void Schedule(const CellClock& aClock);

  /// True when more may be placed than in the last round: capacity became free,
  /// a step became ready, or a worker is reachable again. Most reports contain
  /// no such change and need no round of their own.
  bool NeedsPlacement() const { return mNeedsPlacement; }

  bool HasOrders(const AgentId& aAgent) const
  {
    return mOrders.contains(aAgent);
  }
  std::vector<AgentId> AgentsWithOrders() const;
  /// Removes and returns the next orders of an agent, for its current session.
  OrderRequest TakeOrders(const AgentId& aAgent);

  /// When the first start of the orders was decided.
  std::optional<Instant> OrderedAt(const OrderRequest& aOrders);

  /// At most `aMaxJobs` jobs whose progress must be saved.
  std::vector<UnsavedProgress> UnsavedJobs(std::size_t aMaxJobs) const;
  bool HasUnsavedJobs() const { return !mUnsaved.empty(); }
  void OnProgressSaved(const JobId& aJob,
                       std::uint64_t aVersion,
                       Revision aRevision);
  /// A write of the progress record was sent and is not answered yet.
  void OnProgressSaveInDoubt(const JobId& aJob);
  /// The store holds another revision of the progress record than expected.
  void SetProgressRevision(const JobId& aJob, Revision aRevision);

  /// Weights of the images on this agent's worker, which it throttles by.
  std::vector<InterferenceWeight> InterferenceWeightsOn(
    const AgentId& aAgent) const;

  /// Ends of this agent's worker up to this number are saved.
  std::int64_t Acknowledged(const AgentId& aAgent);

  // Views.

  /// Phase to report to a caller; nullopt for an unknown job, and for one whose
  /// end is known to the store alone. Never ahead of the saved progress.
  std::optional<JobPhase> PhaseOf(const JobId& aJob) const;
  std::int64_t WaitingJobs(const QueueId& aQueue) const;
  /// Jobs that ended before `aUnixMs`, are saved and have no runs left.
  std::vector<JobId> EndedBefore(std::int64_t aUnixMs) const;

  /// False while the jobs that are known use the memory set apart for them.
  bool AcceptsJobs() const { return mJobBytes < mSettings.mLimits.mJobBytes; }
  std::size_t JobBytes() const { return mJobBytes; }
  std::int64_t OpenSteps() const { return mOpenSteps; }
  std::int64_t TouchedTasks() const { return mTouchedTasks; }

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
  void CompactJobs();
  void UpdateJobBytes(JobEntry& aJob, std::size_t aBytes);
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
  static std::size_t FailuresOf(JobEntry& aJob, const TaskRef& aTask);
  static bool IsExhausted(JobEntry& aJob, const TaskRef& aTask);
  void FailExhaustedJobs(const CellClock& aClock);
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
  /// `aAnsweredAt`: time of the worker's answer, by the agent's clock.
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
  /// Removes all runs of the worker but those that `aListed` contains.
  /// Unexplained: it may have crashed.
  void OnRunsLost(WorkerEntry& aWorker,
                  std::string_view aReason,
                  LossCause aCause,
                  const CellClock& aClock,
                  const WorkerState& aListed = {});
  RunNumber NextRun(const TaskEntry& aTask) const;

  // Workers (CellSchedulerWorkers.cpp).
  /// The worker refused a start: it gets none until it has answered again.
  void MarkUnhealthy(WorkerEntry& aWorker);
  void UpdateInfo(WorkerEntry& aWorker,
                  const WorkerState& aState,
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
  void OnWorkerReplaced(WorkerEntry& aWorker,
                        const WorkerState& aNext,
                        const CellClock& aClock);
  void OnWorkerEnded(WorkerEntry& aWorker,
                     std::string_view aReason,
                     const WorkerState& aNext,
                     const CellClock& aClock);
  bool LeasesAreOver(Instant aLeaseEnd) const;
  void ExpireWorkers(const CellClock& aClock);
  void OnWorkerLeft(const ReportRequest& aReport,
                    bool aInSession,
                    const CellClock& aClock);
  void UpdateReachability(WorkerEntry& aWorker,
                          const ReportRequest& aReport,
                          const CellClock& aClock);
  void DrainWorker(WorkerEntry& aWorker, const CellClock& aClock);

  // Cordons (CellSchedulerCordons.cpp).
  void UpdateCordon(WorkerEntry& aWorker, const CellClock& aClock);
  void WithdrawUnsentStarts(WorkerEntry& aWorker,
                            std::string_view aReason,
                            const CellClock& aClock);

  // Crashes (CellSchedulerCrashes.cpp).
  const TaskEntry* FindOpenTask(const TaskRef& aTask) const;
  TaskEntry* TouchOpenTask(const TaskRef& aTask);
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
  bool PrepareStart(JobEntry& aJob,
                    const TaskRef& aTask,
                    RunNumber aRun,
                    const AgentId& aAgent,
                    const CellClock& aClock);
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
  void LogWaiting(const std::vector<Candidate>& aCandidates,
                  const CellClock& aClock);

  // Candidates (CellSchedulerCandidates.cpp).
  void OpenDueOccurrences(JobEntry& aJob, std::int64_t aUnixMs);
  std::vector<Candidate> Candidates(const CellClock& aClock);
  std::vector<Candidate> SortedCandidates(const CellClock& aClock);
  bool StandingTasksComeFirst(std::span<const Candidate> aCandidates,
                              Instant aNow);

  // Placing (CellSchedulerPlacing.cpp).
  void RefreshInterference(WorkerEntry& aWorker, Instant aNow);
  static Duration IdleTime(const JobEntry& aJob,
                           const TaskRef& aTask,
                           Instant aNow);
  const char* HeldBy(JobEntry& aJob, const TaskRef& aTask, Instant aNow) const;
  bool Starving(const JobEntry& aJob, const TaskRef& aTask, Instant aNow) const;
  bool MayRunUnreported(const JobEntry& aJob,
                        const TaskRef& aTask,
                        Instant aNow) const;
  void PlaceStep(const Candidate& aCandidate, const CellClock& aClock);
  void PlaceTasks(JobEntry& aJob,
                  const TaskRef& aFirst,
                  const CellClock& aClock);
  void PlaceCopies(const CellClock& aClock);
  bool NeedsCopy(const JobEntry& aJob,
                 const TaskEntry& aTask,
                 Instant aNow) const;
  bool PlaceTask(JobEntry& aJob,
                 const TaskRef& aTask,
                 RunNumber aRun,
                 const CellClock& aClock,
                 StepChoices& aChoices);

  // Gangs (CellSchedulerGangs.cpp).
  /// State of a member before it was placed.
  struct MemberBefore
  {
    RunNumber mLastRun = 0;
    Instant mIdleSince{};
  };
  std::optional<RunNumber> NextRunOfGang(JobEntry& aJob,
                                         const TaskRef& aFirst,
                                         Instant aNow) const;
  bool PrepareGang(JobEntry& aJob,
                   const TaskRef& aFirst,
                   RunNumber aRun,
                   const CellClock& aClock);
  void TakeBackGang(JobEntry& aJob,
                    const TaskRef& aFirst,
                    RunNumber aRun,
                    std::span<const MemberBefore> aPlaced,
                    const CellClock& aClock);
  void PlaceGang(JobEntry& aJob,
                 const TaskRef& aFirst,
                 const CellClock& aClock);

  // Orders (CellSchedulerOrders.cpp).
  TaskRun* FindRun(const AgentId& aAgent, const StartOrder& aOrder);
  /// Removes a start that has not been sent. No effect on one that has.
  void WithdrawStart(const AgentId& aAgent,
                     const TaskRef& aTask,
                     RunNumber aRun);
  static void TakeStarts(std::vector<StartOrder>& aPending,
                         OrderRequest& aOrders);
  void UpdateUnsentBytes(const AgentId& aAgent);
  StartOrder OrderFor(const JobEntry& aJob,
                      const TaskRef& aTask,
                      RunNumber aRun,
                      const WorkerEntry& aWorker,
                      Instant aNow) const;

  Generation mGeneration;
  Instant mConfirmedAt{}; ///< See OnOwnershipConfirmed().
  CellSettings mSettings;
  DecisionSink mSink;
  std::map<QueueId, QueuePolicy> mQueues;
  /// Mean run time of the queue's tasks that ended as done.
  std::map<QueueId, Duration> mMeanRunTime;
  std::map<JobId, JobEntry> mJobs;
  std::set<JobId> mActiveJobs; ///< Jobs that have not ended.
  std::set<JobId> mUnsaved;
  std::set<JobId> mToCompact; ///< Jobs that may hold state they do not need.
  std::set<JobId> mJobsWithNewPolicy; ///< Their queue was not known before.
  WorkerTable mWorkers;
  std::set<FailureDomainId> mCordonedDomains;
  InterferenceEstimator mInterference;
  CrashTrials mTrials;
  CrashCounters mCrashCounters;
  std::size_t mJobBytes = 0;         ///< Memory of all jobs' records.
  std::int64_t mOpenSteps = 0;       ///< Of open occurrences.
  std::int64_t mTouchedTasks = 0;    ///< Tasks with an entry.
  std::int64_t mStartsOverLimit = 0; ///< Since the last log line.
  Instant mRunsReviewedAt{};
  Instant mWaitingLoggedAt{};
  RefusedDemands mRefusedDemands; ///< Of the current placement round.
  double mReservedShare = 0;      ///< At the beginning of that round.
  bool mStandingFirst = false;    ///< Best-effort tasks wait for standing ones.
  /// See NeedsPlacement().
  bool mNeedsPlacement = false;
  std::map<AgentId, OrderRequest> mOrders;
  UnreportedTasks mUnreported; ///< Of earlier owners.
};

} // namespace foxtailbarrow::cell
