#pragma once

#include <optional>
#include <vector>

#include "foxtailbarrow/Messages.h"
#include "src/core/ownership/EntryRoster.h"
#include "src/core/ownership/Records.h"

namespace foxtailbarrow {

/// The last known store state of a shard. Without a record, it never had an
/// owner.
struct ShardSlot
{
  std::optional<ShardRecord> mRecord;
  Revision mModRevision = 0;

  /// When this entry first found the shard without a live holder.
  std::optional<Instant> mVacantSince;
};

/// The last known store state of all shards, by number.
class ShardTable
{
public:
  explicit ShardTable(std::uint32_t aShards)
    : mSlots(aShards)
  {
  }

  void OnListing(const StoreListing& aListing);

  /// Applies a record that this process wrote.
  void OnWritten(ShardId aShard, ShardRecord aRecord, Revision aRevision);

  /// Updates which shards have no live holder.
  void OnRoster(const EntryRoster& aRoster, Instant aNow);

  const ShardSlot& Slot(ShardId aShard) const { return mSlots.at(aShard); }
  std::uint32_t Size() const
  {
    return static_cast<std::uint32_t>(mSlots.size());
  }

  /// The live owner; nullptr when there is none. Valid until the roster's next
  /// round.
  const LiveEntry* Owner(ShardId aShard, const EntryRoster& aRoster) const;

private:
  std::vector<ShardSlot> mSlots;
};

} // namespace foxtailbarrow
