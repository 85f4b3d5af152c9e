#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "absl/container/flat_hash_map.h"

#include "foxtailbarrow/Messages.h"
#include "foxtailbarrow/Time.h"

namespace foxtailbarrow {

/// Until when the owners of the shards let this agent's assignments run.
///
/// A lease counts from the time at which the agent SENT the heartbeat that the
/// owner answered, which is before the owner counts from. So the agent's end
/// is never later than the owner's, whatever the reply's delay.
/// Promises: a lower generation never extends anything; an end never moves
/// back. Not safe for use by several threads.
class ShardLeases
{
public:
  /// Notes when a heartbeat was sent. Sequences rise.
  void HeartbeatSent(std::uint64_t aSequence, Instant aAt);

  /// When the heartbeat was sent; nullopt when that is too long ago.
  std::optional<Instant> SentAt(std::uint64_t aSequence) const;

  /// False where a greater generation of the shard is known.
  bool Accepts(ShardId aShard, Generation aGeneration) const;

  /// Extends the shard's lease to `aSentAt + aTtl`. False: stale generation.
  bool Extend(ShardId aShard,
              Generation aGeneration,
              Instant aSentAt,
              Duration aTtl);

  /// End of the shard's lease; nullopt when it never had one.
  std::optional<Instant> Until(ShardId aShard) const;

  /// What is left of the shard's lease, zero or more.
  Duration Left(ShardId aShard, Instant aNow) const;

  /// The time to live that was last given for the shard.
  Duration Ttl(ShardId aShard) const;

private:
  struct Lease
  {
    Generation mGeneration = 0;
    Instant mUntil{};
    Duration mTtl{};
  };

  struct SentHeartbeat
  {
    std::uint64_t mSequence = 0; ///< 0 = none.
    Instant mAt{};
  };

  static constexpr std::size_t kHeartbeatHistory = 2'048;

  std::array<SentHeartbeat, kHeartbeatHistory> mSent{};
  absl::flat_hash_map<ShardId, Lease> mLeases;
};

} // namespace foxtailbarrow
