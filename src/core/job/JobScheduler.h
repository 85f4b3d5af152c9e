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
#include "src/core/job/JobAllocations.h"
#include "src/core/job/JobCounters.h"
#include "src/core/job/JobEvent.h"
#include "src/core/job/JobSchedulerSettings.h"
#include "src/core/job/JobTable.h"
#include "src/core/job/LeaseBounds.h"
#include "src/core/job/ReadyQueue.h"
#include "src/core/placement/Placer.h"
#include "src/core/placement/Preemption.h"
#include "src/core/placement/QuarantinePolicy.h"
#include "src/core/placement/SizeLearner.h"

namespace foxtailbarrow {

/// Schedules the jobs of the shards that this process owns: decides where and
/// when each is assigned, suspended, resumed, failed or cancelled.
///
/// Input: events (JobEvent.h). Output: actions (JobAction.h), in the order in
/// which they must be executed. Pure: time and randomness are passed in.
///
/// Guarantees, even if events are lost, repeated or delayed:
/// - A job is reassigned only after its record was written with a greater
///   epoch, and only if the previous assignment certainly no longer runs: its
///   agent reported the end or finally refused it, or its lease expired.
/// - An end is acknowledged to the agent only after it was saved.
/// - A checkpoint and the epoch that resumes it are written together.
///
/// Tolerates lost replies of the store and of agents, conflicting writes,
/// agents that crash, freeze or restart, and takeover from another owner.
class JobScheduler
{
public:
  using Actions = std::vector<JobAction>;

  explicit JobScheduler(const JobSchedulerSettings& aSettings = {});

  /// `aNow` must not decrease between calls.
  Actions Handle(const JobEvent& aEvent, Instant aNow, absl::BitGenRef aRandom);

  /// Sets the interval at which agents send heartbeats. A worker becomes
  /// suspect after several intervals, but not before
  /// JobSchedulerSettings::mSuspectAfter.
  void ExpectInterval(Duration aInterval);

  /// The record last known to be stored; nullptr for jobs of other owners and
  /// jobs that ended longer ago than JobSchedulerSettings::mForgetAfter.
  const JobRecord* Find(const JobId& aJob) const;

  /// The latest decisions about the job, oldest first; empty when unknown.
  std::span<const Decision> Explain(const JobId& aJob) const;

  bool Owns(ShardId aShard) const { return mShards.contains(aShard); }
  std::size_t JobCount() const { return mTable.Size(); }
  const JobTable& Jobs() const { return mTable; }
  const WorkerIndex& Workers() const { return mAllocations.Workers(); }
  const QuotaTracker& Quotas() const { return mAllocations.Quotas(); }
  const JobCounters& Counters() const { return mCounters; }

private:
  /// State of one call of Handle().
  struct CallContext
  {
    Instant mNow;
    absl::BitGenRef mRandom;
    Actions mActions;
  };

  struct OwnedShard
  {
    Generation mGeneration = 0;
    Instant mAcquiredAt{};
    bool mCleared = true; ///< No earlier owner can extend leases.
  };

  enum class Placement : std::uint8_t
  {
    Placed,
    NoQuota,
    NoFreeCapacity,
    AwaitsEvictions, ///< Capacity is reserved, evictions are pending.
  };

  // Events.
  void On(const ShardAcquired& aEvent, CallContext& aContext);
  void On(const ShardCleared& aEvent, CallContext& aContext);
  void On(const ShardLost& aEvent, CallContext& aContext);
  void On(const JobRead& aEvent, CallContext& aContext);
  void On(const JobMissing& aEvent, CallContext& aContext);
  void On(const JobReadFailed& aEvent, CallContext& aContext);
  void On(const CancelRequested& aEvent, CallContext& aContext);
  void On(const HeartbeatReceived& aEvent, CallContext& aContext);
  void On(const HeartbeatReplySent& aEvent, CallContext& aContext);
  void On(const CommitDone& aEvent, CallContext& aContext);
  void On(const AssignDone& aEvent, CallContext& aContext);
  void On(const ControlDone& aEvent, CallContext& aContext);
  void On(const ContractsChanged& aEvent, CallContext& aContext);
  void On(const UsageReceived& aEvent, CallContext& aContext);
  void On(const Tick& aEvent, CallContext& aContext);

  // Records and commits.
  void Adopt(JobEntry& aEntry, CallContext& aContext);
  void OnRecordRead(JobEntry& aEntry,
                    const StoredJob& aRead,
                    CallContext& aContext);
  void ResolveLostCommit(JobEntry& aEntry,
                         const StoredJob& aRead,
                         CallContext& aContext);
  void Commit(JobEntry& aEntry, JobRecord aNext, CallContext& aContext);
  void OnCommitApplied(JobEntry& aEntry,
                       Revision aRevision,
                       CallContext& aContext);
  void OnCommitNotApplied(JobEntry& aEntry);
  void CountEnd(const JobRecord& aRecord);
  void RequestRead(ShardId aShard, const JobId& aJob, CallContext& aContext);
  void Drop(const JobId& aJob);

  // Performs the next step for one job.
  void Advance(JobEntry& aEntry, CallContext& aContext);
  bool WaitsForStore(JobEntry& aEntry, CallContext& aContext);
  void AdvanceEnd(JobEntry& aEntry, CallContext& aContext);
  bool AdvanceAssigned(JobEntry& aEntry, CallContext& aContext);
  void AdvanceIdle(JobEntry& aEntry,
                   ReadyQueue::Ticket aTicket,
                   CallContext& aContext);
  void AdvanceParked(JobEntry& aEntry, CallContext& aContext);
  Instant LapsedAt(const JobEntry& aEntry) const;
  void Release(JobEntry& aEntry, Reason aReason, CallContext& aContext);

  // Agents.
  void OnReport(const AgentId& aAgent,
                WorkerSlot aSlot,
                const TaskReport& aReport,
                CallContext& aContext);
  void OnCurrentReport(JobEntry& aEntry,
                       WorkerSlot aSlot,
                       const TaskStatus& aStatus,
                       CallContext& aContext);
  void OnSupersededReport(const AgentId& aAgent,
                          const TaskStatus& aStatus,
                          CallContext& aContext);
  void SendAssignIfDue(JobEntry& aEntry, CallContext& aContext);
  void SendControlIfDue(JobEntry& aEntry,
                        TaskAction aAction,
                        Reason aReason,
                        CallContext& aContext);
  void Avoid(JobEntry& aEntry, WorkerSlot aSlot);
  void OnRefusal(JobEntry& aEntry,
                 const AssignReply& aReply,
                 CallContext& aContext);

  // Placement.
  void PlaceWaiting(CallContext& aContext);
  void PlaceWaiting(JobPriority aPriority,
                    int& aPlacements,
                    CallContext& aContext);
  JobEntry* NextWaiting(const CustomerId& aCustomer, JobPriority aPriority);
  Placement Place(JobEntry& aEntry, CallContext& aContext);
  Placement PlaceReserved(JobEntry& aEntry, CallContext& aContext);
  void CommitPlacement(JobEntry& aEntry,
                       WorkerSlot aSlot,
                       CallContext& aContext);
  PlacementRequest RequestFor(const JobEntry& aEntry,
                              const Resources& aSize) const;
  bool EvictFor(JobEntry& aEntry,
                const PlacementRequest& aRequest,
                CallContext& aContext);
  bool RespectsShare(const EvictionPlan& aPlan,
                     const PlacementRequest& aRequest,
                     WorkerSlot aSlot) const;
  std::vector<EvictionCandidate> EvictableOn(WorkerSlot aSlot,
                                             const CallContext& aContext) const;
  void OnNotPlaced(JobEntry& aEntry, Reason aReason, CallContext& aContext);
  void Requeue(JobEntry& aEntry);

  // Learning.
  ProgramKey ProgramOf(const JobEntry& aEntry) const;
  Resources SizeOf(const JobEntry& aEntry) const;
  void OnUsage(std::span<const UsageSample> aSamples);
  void RecordOutcome(JobEntry& aEntry, CallContext& aContext);
  void RecordWorkerFailure(JobEntry& aEntry,
                           WorkerSlot aSlot,
                           CallContext& aContext);

  void RecordDecision(JobEntry& aEntry,
                      Reason aReason,
                      const CallContext& aContext,
                      WorkerSlot aWorker = Decision::kNoWorker);
  Duration Backoff(Duration aFirst,
                   Duration aMax,
                   std::int32_t aTimes,
                   CallContext& aContext) const;

  JobSchedulerSettings mSettings;
  Duration mSuspectAfter;
  absl::flat_hash_map<ShardId, OwnedShard> mShards;
  JobTable mTable;
  JobAllocations mAllocations;
  LeaseBounds mBounds;
  ReadyQueue mReady;
  SizeLearner mSizes;
  QuarantinePolicy mQuarantinePolicy;
  absl::flat_hash_map<CommitToken, JobId> mCommits;
  /// Jobs reported by an agent that are not in the store.
  absl::flat_hash_map<JobId, ShardId> mMissing;
  absl::flat_hash_map<JobId, ShardId> mUnknownReads; ///< Reads of unknown jobs.
  CommitToken mLastToken = 0;
  JobCounters mCounters;
};

} // namespace foxtailbarrow
