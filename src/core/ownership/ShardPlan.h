#pragma once

#include <optional>
#include <vector>

#include "src/core/ownership/EntryRoster.h"
#include "src/core/ownership/OwnershipSettings.h"
#include "src/core/ownership/ShardTable.h"

namespace foxtailbarrow {

/// Which shards this entry should take, and which it should hand over.
///
/// Input: the roster of each round, the table of shards. Keeps the targets of
/// the newest roster and how long each entry has been seen.
class ShardPlan
{
public:
  explicit ShardPlan(const OwnershipSettings& aSettings);

  void OnRegistered(Instant aNow) { mMemberSince = aNow; }
  void OnRoster(const EntryRoster& aRoster, Instant aNow);

  /// Shards without a live owner that this entry may take now: its own of an
  /// earlier tenure at once, others when it is their target and has waited.
  std::vector<ShardId> ToTake(const ShardTable& aTable,
                              const EntryRoster& aRoster,
                              Instant aNow) const;

  /// True when this entry waits for a shard: one without a live owner, or one
  /// whose target it is.
  bool AwaitsShard(const ShardTable& aTable, const EntryRoster& aRoster) const;

  /// True when the shard's target is another entry, seen long enough.
  bool BelongsToOther(ShardId aShard,
                      const EntryRoster& aRoster,
                      Instant aNow) const;

private:
  bool TargetIsSelf(ShardId aShard, const EntryRoster& aRoster) const;
  bool MayTake(const ShardSlot& aSlot,
               const EntryRoster& aRoster,
               Instant aNow) const;

  OwnershipSettings mSettings;
  Instant mMemberSince{};
  std::vector<EntryId> mEntries;
  std::vector<Instant> mSeenSince; ///< Parallel to mEntries.
  std::vector<std::size_t> mTargets;
};

} // namespace foxtailbarrow
