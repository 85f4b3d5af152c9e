#include "src/core/admission/ShareAllocator.h"

#include <algorithm>
#include <utility>

namespace foxtailbarrow {

ShareAllocator::ShareAllocator(ShareSettings aSettings, ShareOwner aSelf)
  : mSettings(aSettings)
  , mSelf(std::move(aSelf))
{
  mAllocation.mStandingPermille = mSettings.mStandingPermille;
  mAllocation.mSlots = mSettings.mSlots;
}

void ShareAllocator::OnJoined(Instant aConfirmed)
{
  mJoined = true;
  mAllocation.mLeaseUntil = {};
  mAllocation.mLeaseFrom = aConfirmed + mSettings.mValidity + mSettings.mMargin;
}

void ShareAllocator::OnLeft()
{
  mJoined = false;
  mAllocation.mLeaseUntil = {};
}

void ShareAllocator::OnRoster(Instant aStarted, std::span<const EntryId> aLive)
{
  const auto isSelf = std::count(aLive.begin(), aLive.end(), mSelf.mEntry) > 0;
  if (!mJoined || !isSelf) {
    mAllocation.mLeaseUntil = {};
    return;
  }
  mAllocation.mLiveEntries = static_cast<std::int32_t>(aLive.size());
  mAllocation.mRank = static_cast<std::int32_t>(
    std::count_if(aLive.begin(), aLive.end(), [&](const EntryId& aEntry) {
      return aEntry < mSelf.mEntry;
    }));
  mAllocation.mLeaseUntil = aStarted + mSettings.mValidity;
}

bool ShareAllocator::Owns(const ShareSlot& aSlot) const
{
  return aSlot.mOwner == mSelf;
}

std::optional<SlotClaim> ShareAllocator::OnSlots(
  Instant aStarted,
  Instant aAnswered,
  std::span<const ShareSlot> aSlots,
  std::span<const EntryId> aLive)
{
  UpdateAbsences(aStarted, aAnswered, aSlots, aLive);
  mAllocation.mSlot.reset();
  std::optional<SlotClaim> claim;
  const auto count = static_cast<std::int32_t>(aSlots.size());
  for (std::int32_t i = 0; i < std::min(count, mSettings.mSlots); ++i) {
    const ShareSlot& slot = aSlots[static_cast<std::size_t>(i)];
    if (Owns(slot)) {
      mAllocation.mSlot = i;
      // Without a roster key other entries cannot tell that the owner is alive.
      if (mJoined) {
        mAllocation.mStandingUntil = aStarted + mSettings.mStandingValidity;
      }
      break;
    }
    // A slot of this entry's previous incarnation is preferred to a free one,
    // so that one entry never holds two.
    const bool isOwn = slot.mOwner && slot.mOwner->mEntry == mSelf.mEntry &&
                       slot.mOwner->mIncarnation < mSelf.mIncarnation;
    if (isOwn || (!claim && IsFree(slot, aStarted))) {
      claim = SlotClaim{ i, slot.mModRevision };
      if (isOwn) {
        break;
      }
    }
  }
  if (mReleased) {
    mAllocation.mSlot.reset();
  }
  return mAllocation.mSlot || mReleased ? std::nullopt : claim;
}

void ShareAllocator::OnReleased()
{
  mReleased = true;
  mAllocation.mSlot.reset();
}

void ShareAllocator::UpdateAbsences(Instant aStarted,
                                    Instant aAnswered,
                                    std::span<const ShareSlot> aSlots,
                                    std::span<const EntryId> aLive)
{
  // An entry that reached the store between two readings stays in the roster
  // for its lease; readings further apart than that could miss it.
  if (aAnswered - mLastRead > mSettings.mValidity) {
    mOwnerAbsentSince.clear();
  }
  mLastRead = aStarted;
  for (const EntryId& entry : aLive) {
    mOwnerAbsentSince.erase(entry);
  }
  for (const ShareSlot& slot : aSlots) {
    const bool isLive =
      slot.mOwner &&
      std::count(aLive.begin(), aLive.end(), slot.mOwner->mEntry) > 0;
    if (slot.mOwner && !isLive) {
      mOwnerAbsentSince.try_emplace(slot.mOwner->mEntry, aAnswered);
    }
  }
}

bool ShareAllocator::IsFree(const ShareSlot& aSlot, Instant aNow) const
{
  if (!aSlot.mOwner) {
    return true;
  }
  const auto absent = mOwnerAbsentSince.find(aSlot.mOwner->mEntry);
  return absent != mOwnerAbsentSince.end() &&
         aNow - absent->second >= mSettings.mReclaimDelay;
}

} // namespace foxtailbarrow
