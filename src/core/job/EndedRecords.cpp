#include "src/core/job/EndedRecords.h"

namespace foxtailbarrow {

bool EndedRecords::OnFinalRecord(ShardId aShard,
                                 const JobId& aJob,
                                 Revision aRevision,
                                 Instant aNow)
{
  Ended& ended = mShards[aShard][aJob];
  if (ended.mRevision != aRevision) {
    ended = { aRevision, aNow };
  }
  return aNow - ended.mSince >= mRetention;
}

void EndedRecords::Forget(ShardId aShard, const JobId& aJob)
{
  if (const auto shard = mShards.find(aShard); shard != mShards.end()) {
    shard->second.erase(aJob);
  }
}

std::size_t EndedRecords::Size(ShardId aShard) const
{
  const auto shard = mShards.find(aShard);
  return shard == mShards.end() ? 0 : shard->second.size();
}

} // namespace foxtailbarrow
