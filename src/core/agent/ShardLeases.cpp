#include "src/core/agent/ShardLeases.h"

#include <algorithm>

namespace foxtailbarrow {

void ShardLeases::HeartbeatSent(std::uint64_t aSequence, Instant aAt)
{
  mSent[aSequence % kHeartbeatHistory] = { aSequence, aAt };
}

std::optional<Instant> ShardLeases::SentAt(std::uint64_t aSequence) const
{
  const SentHeartbeat& heartbeat = mSent[aSequence % kHeartbeatHistory];
  if (aSequence == 0 || heartbeat.mSequence != aSequence) {
    return std::nullopt;
  }
  return heartbeat.mAt;
}

bool ShardLeases::Accepts(ShardId aShard, Generation aGeneration) const
{
  const auto lease = mLeases.find(aShard);
  return lease == mLeases.end() || aGeneration >= lease->second.mGeneration;
}

bool ShardLeases::Extend(ShardId aShard,
                         Generation aGeneration,
                         Instant aSentAt,
                         Duration aTtl)
{
  if (!Accepts(aShard, aGeneration)) {
    return false;
  }
  Lease& lease = mLeases[aShard];
  lease.mGeneration = aGeneration;
  lease.mUntil = std::max(lease.mUntil, aSentAt + aTtl);
  lease.mTtl = aTtl;
  return true;
}

std::optional<Instant> ShardLeases::Until(ShardId aShard) const
{
  const auto lease = mLeases.find(aShard);
  if (lease == mLeases.end()) {
    return std::nullopt;
  }
  return lease->second.mUntil;
}

Duration ShardLeases::Left(ShardId aShard, Instant aNow) const
{
  const Instant until = Until(aShard).value_or(aNow);
  return std::max(Duration{}, until - aNow);
}

Duration ShardLeases::Ttl(ShardId aShard) const
{
  const auto lease = mLeases.find(aShard);
  return lease == mLeases.end() ? Duration{} : lease->second.mTtl;
}

} // namespace foxtailbarrow
