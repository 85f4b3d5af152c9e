#pragma once

#include <optional>
#include <vector>

#include "src/core/ownership/EntryRoster.h"
#include "src/core/ownership/OwnershipSettings.h"
#include "src/core/ownership/ShardTable.h"

namespace foxtailbarrow {

/// Plans which shards this entry should take and which it should release.
///
/// Input: the roster of each round and the shard table. Keeps the shard targets
/// of the newest roster and the time since which each entry has been listed.
class ShardPlan
{
public:
  explicit ShardPlan(const OwnershipSettings& aSettings);

  void OnRegistered(Instant aNow) { mMemberSince = aNow; }
  void OnRoster(const EntryRoster& aRoster, Instant aNow);

  /// Shards without a live owner that this entry may take now: those of its own
  /// earlier tenure at once, others when it is their target and their waiting
  /// time has passed.
  std::vector<ShardId> ToTake(const ShardTable& aTable,
                              const EntryRoster& aRoster,
                              Instant aNow) const;

  /// True when some shard has no live owner, or has this entry as its target
  /// but another owner.
  bool AwaitsShard(const ShardTable& aTable, const EntryRoster& aRoster) const;

  /// True when the shard's target is another entry that has been listed for
  /// `mSettleTime`.
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
