#pragma once

#include "absl/container/flat_hash_map.h"

#include "foxtailbarrow/Contract.h"
#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Messages.h"
#include "foxtailbarrow/Time.h"

namespace foxtailbarrow {

/// Decides when the record of an ended job may be deleted from the store.
/// Input: final records found in listings of owned shards. Output: whether a
/// record has been final for the retention time.
///
/// Guarantee: a record is deleted only after this process has known it as
/// final, at the same revision, for the retention time; a new owner starts
/// over. A repeated submission therefore finds its job for at least that long.
class EndedRecords
{
public:
  explicit EndedRecords(Duration aRetention)
    : mRetention(aRetention)
  {
  }

  /// The record is final in the store. Returns whether it may be deleted.
  bool OnFinalRecord(ShardId aShard,
                     const JobId& aJob,
                     Revision aRevision,
                     Instant aNow);

  /// The record was deleted, or is no longer final.
  void Forget(ShardId aShard, const JobId& aJob);

  /// The shard is no longer owned.
  void ForgetShard(ShardId aShard) { mShards.erase(aShard); }

  std::size_t Size(ShardId aShard) const;

private:
  struct Ended
  {
    Revision mRevision = 0;
    Instant mSince{};
  };
  using Jobs = absl::flat_hash_map<JobId, Ended>;

  Duration mRetention;
  absl::flat_hash_map<ShardId, Jobs> mShards;
};

} // namespace foxtailbarrow
