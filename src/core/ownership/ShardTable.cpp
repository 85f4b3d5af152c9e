#include "src/core/ownership/ShardTable.h"

#include <utility>

#include "src/core/ownership/StoreKeys.h"

namespace foxtailbarrow {

void ShardTable::OnListing(const StoreListing& aListing)
{
  for (ShardSlot& slot : mSlots) {
    slot.mRecord.reset();
    slot.mModRevision = 0;
  }
  for (const StoreEntry& entry : aListing.mEntries) {
    const auto shard = ParseShardKey(entry.mKey);
    auto record = DecodeShardRecord(entry.mValue);
    if (shard && *shard < mSlots.size() && record) {
      mSlots[*shard].mRecord = std::move(*record);
      mSlots[*shard].mModRevision = entry.mModRevision;
    }
  }
}

void ShardTable::OnWritten(ShardId aShard,
                           ShardRecord aRecord,
                           Revision aRevision)
{
  mSlots.at(aShard).mRecord = std::move(aRecord);
  mSlots.at(aShard).mModRevision = aRevision;
}

void ShardTable::OnRoster(const EntryRoster& aRoster, Instant aNow)
{
  for (ShardId shard = 0; shard < mSlots.size(); ++shard) {
    std::optional<Instant>& since = mSlots[shard].mVacantSince;
    if (Owner(shard, aRoster) != nullptr) {
      since.reset();
    } else if (!since) {
      since = aNow;
    }
  }
}

const LiveEntry* ShardTable::Owner(ShardId aShard,
                                   const EntryRoster& aRoster) const
{
  const ShardSlot& slot = mSlots.at(aShard);
  if (!slot.mRecord || slot.mRecord->mOwner.Empty()) {
    return nullptr;
  }
  const LiveEntry* const owner = aRoster.Find(slot.mRecord->mOwner);
  if (owner == nullptr || owner->mRecord.mTenure != slot.mRecord->mTenure) {
    return nullptr;
  }
  return owner;
}

} // namespace foxtailbarrow
