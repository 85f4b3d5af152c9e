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

/// What the reply to an agent's heartbeat carries for its tasks.
struct TaskReplies
{
  std::vector<TaskKey> mAcknowledged;
  std::vector<TaskKey> mUnknown;
  std::vector<ShardLease> mLeases;
};

/// Runs JobScheduler: carries out its commits, assignments and controls, and
/// tells it what became of them.
class JobDriver
{
public:
  using ShardPredicate = std::function<bool(ShardId)>;

  /// `aMayExtend`: may task leases of the shard be extended now?
  /// `aMayReassign`: is no lease of an earlier owner left?
  /// `aEndedRetention`: how long records of ended jobs stay at least.
  JobDriver(ControlContext& aContext,
            ShardPredicate aMayExtend,
            ShardPredicate aMayReassign,
            Duration aEndedRetention);

  /// Starts the ticking fiber and the one that lists held shards again.
  void Start();

  void Handle(const JobEvent& aEvent);

  /// Lists the jobs of a shard that was won and hands them to the scheduler.
  void OnShardAcquired(ShardId aShard, Generation aGeneration);
  void OnShardLost(ShardId aShard);

  /// No lease that an earlier owner of the shard granted is left.
  void OnEarlierLeasesExpired(ShardId aShard);

  /// Reads a job of which another process says that it changed. False when
  /// this entry does not own the shard.
  bool OnJobChanged(const JobChanged& aChange);

  /// Gives the heartbeat to the scheduler and returns what its reply carries.
  TaskReplies OnHeartbeat(const Heartbeat& aHeartbeat);

  /// See JobScheduler::ExpectInterval().
  void ExpectInterval(Duration aInterval) { mLogic.ExpectInterval(aInterval); }

  const JobScheduler& Logic() const { return mLogic; }

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
  JobScheduler mLogic;
  EndedRecords mEnded;
  absl::BitGen mRandom;
  /// Shards held, with the generation under which each is being listed.
  absl::btree_map<ShardId, Generation> mHeld;
  ShardId mLastRelisted = 0;
  absl::flat_hash_map<AgentId, TaskReplies> mPending;
  prometheus::Counter& mDeleted;
  /// Set by the scheduler while it handles a heartbeat.
  std::optional<ExtendLeases> mLeaseExtension;
};

} // namespace foxtailbarrow::entry
