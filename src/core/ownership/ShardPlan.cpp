#include "src/core/ownership/ShardPlan.h"

#include <algorithm>

#include "src/core/ownership/ShardTarget.h"

namespace foxtailbarrow {

ShardPlan::ShardPlan(const OwnershipSettings& aSettings)
  : mSettings(aSettings)
{
}

void ShardPlan::OnRoster(const EntryRoster& aRoster, Instant aNow)
{
  std::vector<EntryId> entries;
  std::vector<Instant> seenSince;
  for (const LiveEntry& live : aRoster.Live()) {
    const EntryId& id = live.mRecord.mEntry;
    const auto known = std::ranges::lower_bound(mEntries, id);
    const bool isKnown = known != mEntries.end() && *known == id;
    entries.push_back(id);
    seenSince.push_back(isKnown ? mSeenSince[known - mEntries.begin()] : aNow);
  }
  const bool changed = entries != mEntries;
  mEntries = std::move(entries);
  mSeenSince = std::move(seenSince);
  if (changed) {
    mTargets = ShardTargets(mEntries, mSettings.mShards);
  }
}

std::vector<ShardId> ShardPlan::ToTake(const ShardTable& aTable,
                                       const EntryRoster& aRoster,
                                       Instant aNow) const
{
  std::vector<ShardId> shards;
  for (ShardId shard = 0; shard < aTable.Size(); ++shard) {
    const ShardSlot& slot = aTable.Slot(shard);
    if (aTable.Owner(shard, aRoster) != nullptr) {
      continue;
    }
    const bool wasOwn = slot.mRecord && slot.mRecord->mOwner == aRoster.Self();
    if (wasOwn ||
        (TargetIsSelf(shard, aRoster) && MayTake(slot, aRoster, aNow))) {
      shards.push_back(shard);
    }
  }
  return shards;
}

bool ShardPlan::AwaitsShard(const ShardTable& aTable,
                            const EntryRoster& aRoster) const
{
  for (ShardId shard = 0; shard < aTable.Size(); ++shard) {
    const LiveEntry* const owner = aTable.Owner(shard, aRoster);
    const bool isOwn =
      owner != nullptr && owner->mRecord.mEntry == aRoster.Self();
    if (!isOwn && (owner == nullptr || TargetIsSelf(shard, aRoster))) {
      return true;
    }
  }
  return false;
}

bool ShardPlan::BelongsToOther(ShardId aShard,
                               const EntryRoster& aRoster,
                               Instant aNow) const
{
  if (aShard >= mTargets.size() || TargetIsSelf(aShard, aRoster)) {
    return false;
  }
  return aNow >= mSeenSince[mTargets[aShard]] + mSettings.mSettleTime;
}

bool ShardPlan::TargetIsSelf(ShardId aShard, const EntryRoster& aRoster) const
{
  return aShard < mTargets.size() &&
         mEntries[mTargets[aShard]] == aRoster.Self();
}

bool ShardPlan::MayTake(const ShardSlot& aSlot,
                        const EntryRoster& aRoster,
                        Instant aNow) const
{
  if (!aRoster.Joined(aNow)) {
    return false;
  }
  const bool hadOwner = aSlot.mRecord && !aSlot.mRecord->mOwner.Empty();
  if (!hadOwner) {
    return true;
  }
  // After a store outage, or when the owner is back under a new tenure, the
  // owner can take its shards again without moving any task.
  const bool ownerIsBack = aRoster.Find(aSlot.mRecord->mOwner) != nullptr;
  const Instant waitsSince =
    ownerIsBack ? aSlot.mVacantSince.value_or(aNow) : mMemberSince;
  return aNow >= waitsSince + mSettings.mOutageGrace;
}

} // namespace foxtailbarrow
