#pragma once

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/random/bit_gen_ref.h"

#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Messages.h"
#include "foxtailbarrow/Time.h"
#include "src/core/job/JobAction.h"
#include "src/core/job/JobBooks.h"
#include "src/core/job/JobCounters.h"
#include "src/core/job/JobEvent.h"
#include "src/core/job/JobSchedulerSettings.h"
#include "src/core/job/JobTable.h"
#include "src/core/job/LeaseBounds.h"
#include "src/core/job/ReadyQueue.h"
#include "src/core/placement/FailureJudge.h"
#include "src/core/placement/Placer.h"
#include "src/core/placement/Preemption.h"
#include "src/core/placement/SizeLearner.h"

namespace foxtailbarrow {

/// Runs the jobs of the shards that this process owns: decides where and when
/// each is assigned, suspended, resumed, given up or cancelled.
///
/// Input: events (JobEvent.h). Output: actions (JobAction.h), in the order in
/// which they must be carried out. Pure: time and randomness are passed in.
///
/// Promises, whatever events are lost, repeated or late:
/// - A job is assigned anew only after its record says so under a greater
///   epoch, and only when the assignment before certainly runs no more: its
///   agent reported the end or refused for good, or its lease lapsed.
/// - An agent is told to forget an ended task only after the end is recorded.
/// - A checkpoint and the epoch that resumes it are written together.
///
/// Survives: lost replies of the store and of agents, conflicting writes,
/// agents that die, freeze or restart, takeover from another owner.
class JobScheduler
{
public:
  using Actions = std::vector<JobAction>;

  explicit JobScheduler(const JobSchedulerSettings& aSettings = {});

  /// `aNow` must not go back from one call to the next.
  Actions Handle(const JobEvent& aEvent, Instant aNow, absl::BitGenRef aRandom);

  /// The interval at which agents now send heartbeats: a worker counts as
  /// suspect after several, never earlier than the setting says.
  void ExpectInterval(Duration aInterval);

  /// The record as last known to be stored; nullptr for jobs of other owners
  /// and for those that ended a while ago.
  const JobRecord* Find(const JobId& aJob) const;

  /// The latest decisions about the job, oldest first; empty when unknown.
  std::span<const Decision> Explain(const JobId& aJob) const;

  bool Owns(ShardId aShard) const { return mShards.contains(aShard); }
  std::size_t JobCount() const { return mTable.Size(); }
  const JobTable& Jobs() const { return mTable; }
  const WorkerIndex& Workers() const { return mBooks.Workers(); }
  const QuotaBook& Quotas() const { return mBooks.Quotas(); }
  const JobCounters& Counters() const { return mCounters; }

private:
  /// One call of Handle().
  struct Turn
  {
    Instant mNow;
    absl::BitGenRef mRandom;
    Actions mActions;
  };

  struct OwnedShard
  {
    Generation mGeneration = 0;
    Instant mAcquiredAt{};
    bool mCleared = true; ///< No earlier owner extends leases any more.
  };

  enum class Placement : std::uint8_t
  {
    Placed,
    NoQuota,
    NoRoom,
    Held, ///< Waits for evicted tasks to make room.
  };

  // Events.
  void On(const ShardAcquired& aEvent, Turn& aTurn);
  void On(const ShardCleared& aEvent, Turn& aTurn);
  void On(const ShardLost& aEvent, Turn& aTurn);
  void On(const JobRead& aEvent, Turn& aTurn);
  void On(const JobMissing& aEvent, Turn& aTurn);
  void On(const JobReadFailed& aEvent, Turn& aTurn);
  void On(const CancelRequested& aEvent, Turn& aTurn);
  void On(const HeartbeatSeen& aEvent, Turn& aTurn);
  void On(const HeartbeatReplySent& aEvent, Turn& aTurn);
  void On(const CommitDone& aEvent, Turn& aTurn);
  void On(const AssignDone& aEvent, Turn& aTurn);
  void On(const ControlDone& aEvent, Turn& aTurn);
  void On(const ContractsChanged& aEvent, Turn& aTurn);
  void On(const UsageSeen& aEvent, Turn& aTurn);
  void On(const Tick& aEvent, Turn& aTurn);

  // Records and commits.
  void Adopt(JobEntry& aEntry, Turn& aTurn);
  void TakeRead(JobEntry& aEntry, const StoredJob& aRead, Turn& aTurn);
  void ResolveLost(JobEntry& aEntry, const StoredJob& aRead, Turn& aTurn);
  void Commit(JobEntry& aEntry, JobRecord aNext, Turn& aTurn);
  void Applied(JobEntry& aEntry, Revision aRevision, Turn& aTurn);
  void NotApplied(JobEntry& aEntry);
  void CountEnd(const JobRecord& aRecord);
  void RequestRead(ShardId aShard, const JobId& aJob, Turn& aTurn);
  void Drop(const JobId& aJob);

  // One job: does the next step that its state asks for.
  void Advance(JobEntry& aEntry, Turn& aTurn);
  bool WaitsForStore(JobEntry& aEntry, Turn& aTurn);
  void AdvanceEnd(JobEntry& aEntry, Turn& aTurn);
  bool AdvanceAssigned(JobEntry& aEntry, Turn& aTurn);
  void AdvanceIdle(JobEntry& aEntry, ReadyQueue::Ticket aTicket, Turn& aTurn);
  void AdvanceParked(JobEntry& aEntry, Turn& aTurn);
  Instant LapsedAt(const JobEntry& aEntry) const;
  void Release(JobEntry& aEntry, Reason aReason, Turn& aTurn);

  // Agents.
  void TakeReport(const AgentId& aAgent,
                  WorkerSlot aSlot,
                  const TaskReport& aReport,
                  Turn& aTurn);
  void TakeCurrent(JobEntry& aEntry,
                   WorkerSlot aSlot,
                   const TaskStatus& aStatus,
                   Turn& aTurn);
  void TakeSuperseded(const AgentId& aAgent,
                      const TaskStatus& aStatus,
                      Turn& aTurn);
  void SendOwedAssign(JobEntry& aEntry, Turn& aTurn);
  void SendOwedControl(JobEntry& aEntry,
                       TaskAction aAction,
                       Reason aReason,
                       Turn& aTurn);
  void Avoid(JobEntry& aEntry, WorkerSlot aSlot);
  void TakeRefusal(JobEntry& aEntry, const AssignReply& aReply, Turn& aTurn);

  // Placement.
  void PlaceWaiting(Turn& aTurn);
  void PlaceWaiting(JobPriority aPriority, int& aPlacements, Turn& aTurn);
  JobEntry* NextWaiting(const CustomerId& aCustomer, JobPriority aPriority);
  Placement Place(JobEntry& aEntry, Turn& aTurn);
  Placement PlaceHeld(JobEntry& aEntry, Turn& aTurn);
  void CommitPlacement(JobEntry& aEntry, WorkerSlot aSlot, Turn& aTurn);
  PlacementRequest RequestFor(const JobEntry& aEntry,
                              const Resources& aSize) const;
  bool MakeRoom(JobEntry& aEntry,
                const PlacementRequest& aRequest,
                Turn& aTurn);
  bool RespectsShare(const EvictionPlan& aPlan,
                     const PlacementRequest& aRequest,
                     WorkerSlot aSlot) const;
  std::vector<EvictionCandidate> EvictableOn(WorkerSlot aSlot,
                                             const Turn& aTurn) const;
  void Miss(JobEntry& aEntry, Reason aReason, Turn& aTurn);
  void Requeue(JobEntry& aEntry);

  // Learning.
  ProgramKey ProgramOf(const JobEntry& aEntry) const;
  Resources SizeOf(const JobEntry& aEntry) const;
  void TakeUsage(std::span<const UsageSample> aSamples);
  void Judge(JobEntry& aEntry, Turn& aTurn);
  void JudgeWorker(JobEntry& aEntry, WorkerSlot aSlot, Turn& aTurn);

  void Note(JobEntry& aEntry,
            Reason aReason,
            const Turn& aTurn,
            WorkerSlot aWorker = Decision::kNoWorker);
  Duration Backoff(Duration aFirst,
                   Duration aMax,
                   std::int32_t aTimes,
                   Turn& aTurn) const;

  JobSchedulerSettings mSettings;
  Duration mSuspectAfter;
  absl::flat_hash_map<ShardId, OwnedShard> mShards;
  JobTable mTable;
  JobBooks mBooks;
  LeaseBounds mBounds;
  ReadyQueue mReady;
  SizeLearner mSizes;
  FailureJudge mJudge;
  absl::flat_hash_map<CommitToken, JobId> mCommits;
  absl::flat_hash_map<JobId, ShardId> mMissing; ///< Reported, not stored.
  absl::flat_hash_map<JobId, ShardId> mAsked;   ///< Unknown; read under way.
  CommitToken mLastToken = 0;
  JobCounters mCounters;
};

} // namespace foxtailbarrow
