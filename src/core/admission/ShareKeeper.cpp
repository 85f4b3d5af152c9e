#include "src/core/admission/ShareKeeper.h"

#include <algorithm>
#include <utility>

namespace foxtailbarrow {

ShareKeeper::ShareKeeper(ShareSettings aSettings, ShareOwner aSelf)
  : mSettings(aSettings)
  , mSelf(std::move(aSelf))
{
  mBasis.mStandingPermille = mSettings.mStandingPermille;
  mBasis.mSlots = mSettings.mSlots;
}

void ShareKeeper::OnJoined(Instant aConfirmed)
{
  mJoined = true;
  mBasis.mLeaseUntil = {};
  mBasis.mLeaseFrom = aConfirmed + mSettings.mValidity + mSettings.mMargin;
}

void ShareKeeper::OnLeft()
{
  mJoined = false;
  mBasis.mLeaseUntil = {};
}

void ShareKeeper::OnRoster(Instant aStarted, std::span<const EntryId> aLive)
{
  const auto isSelf = std::count(aLive.begin(), aLive.end(), mSelf.mEntry) > 0;
  if (!mJoined || !isSelf) {
    mBasis.mLeaseUntil = {};
    return;
  }
  mBasis.mLive = static_cast<std::int32_t>(aLive.size());
  mBasis.mRank = static_cast<std::int32_t>(
    std::count_if(aLive.begin(), aLive.end(), [&](const EntryId& aEntry) {
      return aEntry < mSelf.mEntry;
    }));
  mBasis.mLeaseUntil = aStarted + mSettings.mValidity;
}

bool ShareKeeper::Owns(const ShareSlot& aSlot) const
{
  return aSlot.mOwner == mSelf;
}

std::optional<SlotClaim> ShareKeeper::OnSlots(Instant aStarted,
                                              Instant aAnswered,
                                              std::span<const ShareSlot> aSlots,
                                              std::span<const EntryId> aLive)
{
  NoteAbsences(aStarted, aAnswered, aSlots, aLive);
  mBasis.mSlot.reset();
  std::optional<SlotClaim> claim;
  const auto count = static_cast<std::int32_t>(aSlots.size());
  for (std::int32_t i = 0; i < std::min(count, mSettings.mSlots); ++i) {
    const ShareSlot& slot = aSlots[static_cast<std::size_t>(i)];
    if (Owns(slot)) {
      mBasis.mSlot = i;
      // Without a roster key others could not tell that the owner is alive.
      if (mJoined) {
        mBasis.mStandingUntil = aStarted + mSettings.mStandingValidity;
      }
      break;
    }
    // A slot of this entry's former incarnation goes before any free one, so
    // that one entry never holds two.
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
    mBasis.mSlot.reset();
  }
  return mBasis.mSlot || mReleased ? std::nullopt : claim;
}

void ShareKeeper::OnReleased()
{
  mReleased = true;
  mBasis.mSlot.reset();
}

void ShareKeeper::NoteAbsences(Instant aStarted,
                               Instant aAnswered,
                               std::span<const ShareSlot> aSlots,
                               std::span<const EntryId> aLive)
{
  // An entry that was in touch with the store between two readings stays in
  // the roster for its lease; readings further apart than that could miss it.
  if (aAnswered - mLastRead > mSettings.mValidity) {
    mAbsentSince.clear();
  }
  mLastRead = aStarted;
  for (const EntryId& entry : aLive) {
    mAbsentSince.erase(entry);
  }
  for (const ShareSlot& slot : aSlots) {
    const bool isLive =
      slot.mOwner &&
      std::count(aLive.begin(), aLive.end(), slot.mOwner->mEntry) > 0;
    if (slot.mOwner && !isLive) {
      mAbsentSince.try_emplace(slot.mOwner->mEntry, aAnswered);
    }
  }
}

bool ShareKeeper::IsFree(const ShareSlot& aSlot, Instant aNow) const
{
  if (!aSlot.mOwner) {
    return true;
  }
  const auto absent = mAbsentSince.find(aSlot.mOwner->mEntry);
  return absent != mAbsentSince.end() &&
         aNow - absent->second >= mSettings.mHold;
}

} // namespace foxtailbarrow
