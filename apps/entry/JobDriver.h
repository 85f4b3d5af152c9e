#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_map.h"
#include "absl/random/random.h"

#include "apps/entry/ControlContext.h"
#include "src/core/job/EndedRecords.h"
#include "src/core/job/JobScheduler.h"
#include "src/platform/store/BatchWriter.h"

namespace foxtailbarrow::entry {

/// Task-related fields of the reply to an agent's heartbeat.
struct TaskReplies
{
  std::vector<TaskKey> mAcknowledged;
  std::vector<TaskKey> mUnknown;
  std::vector<ShardLease> mLeases;
};

/// Runs JobScheduler: executes its commits, assignments and controls, and feeds
/// the results back as events.
class JobDriver
{
public:
  using ShardPredicate = std::function<bool(ShardId)>;

  /// `aMayExtend`: whether task leases of the shard may be extended now.
  /// `aMayReassign`: whether all leases of earlier owners have expired.
  /// `aEndedRetention`: minimum retention of records of ended jobs.
  JobDriver(ControlContext& aContext,
            ShardPredicate aMayExtend,
            ShardPredicate aMayReassign,
            Duration aEndedRetention);

  /// Starts the tick fiber and the fiber that relists owned shards.
  void Start();

  void Handle(const JobEvent& aEvent);

  /// Lists the jobs of an acquired shard and passes them to the scheduler.
  void OnShardAcquired(ShardId aShard, Generation aGeneration);
  void OnShardLost(ShardId aShard);

  /// All leases granted by earlier owners of the shard have expired.
  void OnEarlierLeasesExpired(ShardId aShard);

  /// Reads a job that a process reported as changed. Returns false if this
  /// entry does not own the shard.
  bool OnJobChanged(const JobChanged& aChange);

  /// Passes the heartbeat to the scheduler and returns the task-related fields
  /// of the reply.
  TaskReplies OnHeartbeat(const Heartbeat& aHeartbeat);

  /// See JobScheduler::ExpectInterval().
  void ExpectInterval(Duration aInterval)
  {
    mScheduler.ExpectInterval(aInterval);
  }

  const JobScheduler& Scheduler() const { return mScheduler; }

private:
  void ListShard(ShardId aShard, Generation aGeneration);
  void RelistNext();
  void ReadChanged(ShardId aShard, const StoreListing& aListing);
  void OnListed(ShardId aShard, StoredJob aStored);
  void DeleteEnded(ShardId aShard, const StoredJob& aStored);
  TaskReplies& PendingFor(const AgentId& aAgent);

  void Run(const CommitRecord& aAction);
  void Run(const SendAssign& aAction);
  void Run(const SendControl& aAction);
  void Run(const AcknowledgeTasks& aAction);
  void Run(const DisownTasks& aAction);
  void Run(const ExtendLeases& aAction);
  void Run(const ReadJob& aAction);

  ControlContext& mContext;
  ShardPredicate mMayExtend;
  ShardPredicate mMayReassign;
  BatchWriter mWriter;
  JobScheduler mScheduler;
  EndedRecords mEnded;
  absl::BitGen mRandom;
  /// Owned shards, with the generation under which each was acquired.
  absl::btree_map<ShardId, Generation> mHeld;
  ShardId mLastRelisted = 0;
  absl::flat_hash_map<AgentId, TaskReplies> mPending;
  prometheus::Counter& mDeleted;
  /// Set by the scheduler while it handles a heartbeat.
  std::optional<ExtendLeases> mLeaseExtension;
};

} // namespace foxtailbarrow::entry
