#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "absl/container/flat_hash_map.h"

#include "foxtailbarrow/Messages.h"
#include "foxtailbarrow/Time.h"

namespace foxtailbarrow {

/// The leases under which shard owners let this agent's assignments run.
///
/// A lease starts when the agent sent the heartbeat that the owner answered,
/// which is before the start that the owner assumes. So it never ends later on
/// the agent than on the owner, whatever the delay of the reply.
/// A lower generation never extends a lease, and the end of a lease never moves
/// back. Not thread-safe.
class ShardLeases
{
public:
  /// Records when a heartbeat was sent. Sequences increase.
  void HeartbeatSent(std::uint64_t aSequence, Instant aAt);

  /// When the heartbeat was sent; nullopt when it is too old.
  std::optional<Instant> SentAt(std::uint64_t aSequence) const;

  /// False when a greater generation of the shard is known.
  bool Accepts(ShardId aShard, Generation aGeneration) const;

  /// Extends the shard's lease to `aSentAt + aTtl`. Returns false for a stale
  /// generation.
  bool Extend(ShardId aShard,
              Generation aGeneration,
              Instant aSentAt,
              Duration aTtl);

  /// End of the shard's lease; nullopt when it never had one.
  std::optional<Instant> Until(ShardId aShard) const;

  /// Remaining time of the shard's lease, at least zero.
  Duration Left(ShardId aShard, Instant aNow) const;

  /// The last granted time to live of the shard's lease.
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
