#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "absl/container/flat_hash_map.h"

#include "foxtailbarrow/Contract.h"
#include "foxtailbarrow/Messages.h"
#include "src/core/admission/ShareAllocation.h"
#include "src/core/admission/ShareSettings.h"

namespace foxtailbarrow {

/// Value of a share slot's key, /foxtailbarrow/shares/<n>.
struct ShareOwner
{
  EntryId mEntry;
  Incarnation mIncarnation = 0;

  bool operator==(const ShareOwner&) const = default;
};

/// A share slot as stored. Without an owner the key does not exist.
struct ShareSlot
{
  std::optional<ShareOwner> mOwner;
  Revision mModRevision = 0;
};

/// Compare-and-swap to perform: claim slot `mSlot` if its key is still at
/// `mModRevision` (0 = does not exist).
struct SlotClaim
{
  std::int32_t mSlot = 0;
  Revision mModRevision = 0;
};

/// Computes this entry's share of every contract's limits without a central
/// counter.
///
/// Inputs: what the entry read from the store, with the time at which the call
/// started, since the answer may have been delayed. Outputs: a ShareAllocation
/// to publish and the share slot to claim.
///
/// Guarantees: the usable shares of all entries together never exceed a limit,
/// even if entries join, crash, freeze or are partitioned, or the store is
/// unavailable, as long as clock rates differ by less than 1%. An entry that
/// resumes after a freeze sees by its own clock that its shares have expired.
class ShareAllocator
{
public:
  ShareAllocator(ShareSettings aSettings, ShareOwner aSelf);

  /// This entry's roster key was written under a new store lease; `aConfirmed`
  /// is when the answer arrived. Until then other entries may read a roster
  /// without it.
  void OnJoined(Instant aConfirmed);

  /// This entry's store lease expired or was released.
  void OnLeft();

  /// A keep-alive, followed by a listing of the roster, succeeded.
  void OnRoster(Instant aStarted, std::span<const EntryId> aLive);

  /// All mSlots slots were read, in order, with the roster `aLive`. Returns the
  /// claim to make, if any; it takes effect here only when a later listing
  /// shows it. The standing part is valid from `aStarted`; `aAnswered` is now.
  std::optional<SlotClaim> OnSlots(Instant aStarted,
                                   Instant aAnswered,
                                   std::span<const ShareSlot> aSlots,
                                   std::span<const EntryId> aLive);

  /// Call before the slot is released for good: it is no longer used.
  void OnReleased();

  const ShareAllocation& Allocation() const { return mAllocation; }

private:
  bool Owns(const ShareSlot& aSlot) const;
  void UpdateAbsences(Instant aStarted,
                      Instant aAnswered,
                      std::span<const ShareSlot> aSlots,
                      std::span<const EntryId> aLive);
  bool IsFree(const ShareSlot& aSlot, Instant aNow) const;

  ShareSettings mSettings;
  ShareOwner mSelf;
  bool mJoined = false;
  bool mReleased = false;
  ShareAllocation mAllocation;
  /// Owners of slots that are not in the roster, and since when, without a gap
  /// between readings in which they could have been present.
  absl::flat_hash_map<EntryId, Instant> mOwnerAbsentSince;
  Instant mLastRead{};
};

} // namespace foxtailbarrow
