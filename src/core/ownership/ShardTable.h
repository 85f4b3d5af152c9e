#pragma once

#include <optional>
#include <vector>

#include "foxtailbarrow/Messages.h"
#include "src/core/ownership/EntryRoster.h"
#include "src/core/ownership/Records.h"

namespace foxtailbarrow {

/// A shard as the store last showed it. No record: it never had an owner.
struct ShardSlot
{
  std::optional<ShardRecord> mRecord;
  Revision mModRevision = 0;

  /// Since when nobody live holds it, as far as this entry saw.
  std::optional<Instant> mVacantSince;
};

/// The shards as the store last listed them, by number.
class ShardTable
{
public:
  explicit ShardTable(std::uint32_t aShards)
    : mSlots(aShards)
  {
  }

  void OnListing(const StoreListing& aListing);

  /// This process wrote the record itself.
  void OnWritten(ShardId aShard, ShardRecord aRecord, Revision aRevision);

  /// Notes which shards nobody live holds.
  void OnRoster(const EntryRoster& aRoster, Instant aNow);

  const ShardSlot& Slot(ShardId aShard) const { return mSlots.at(aShard); }
  std::uint32_t Size() const
  {
    return static_cast<std::uint32_t>(mSlots.size());
  }

  /// The live owner, nullptr when there is none. Valid until the roster's next
  /// round.
  const LiveEntry* Owner(ShardId aShard, const EntryRoster& aRoster) const;

private:
  std::vector<ShardSlot> mSlots;
};

} // namespace foxtailbarrow
