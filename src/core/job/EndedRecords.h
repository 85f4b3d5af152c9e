#pragma once

#include "absl/container/flat_hash_map.h"

#include "foxtailbarrow/Contract.h"
#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Messages.h"
#include "foxtailbarrow/Time.h"

namespace foxtailbarrow {

/// Decides when the record of an ended job may be deleted from the store.
/// Input: records seen to be final, in listings of owned shards. Output:
/// whether one has been so for the keeping time.
///
/// Promise: no record goes before this process has known it as final, under
/// the same revision, for the keeping time; a new owner starts anew. A caller's
/// repeated submission therefore finds its job for at least that long.
class EndedRecords
{
public:
  explicit EndedRecords(Duration aKeep)
    : mKeep(aKeep)
  {
  }

  /// The record is final in the store. True when it may be deleted.
  bool OnFinalRecord(ShardId aShard,
                     const JobId& aJob,
                     Revision aRevision,
                     Instant aNow);

  /// The record was deleted, or is final no longer.
  void Forget(ShardId aShard, const JobId& aJob);

  /// The shard is not owned any more.
  void ForgetShard(ShardId aShard) { mShards.erase(aShard); }

  std::size_t Size(ShardId aShard) const;

private:
  struct Ended
  {
    Revision mRevision = 0;
    Instant mSince{};
  };
  using Jobs = absl::flat_hash_map<JobId, Ended>;

  Duration mKeep;
  absl::flat_hash_map<ShardId, Jobs> mShards;
};

} // namespace foxtailbarrow
