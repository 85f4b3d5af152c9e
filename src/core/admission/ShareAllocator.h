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

/// A share slot as the store holds it. No owner: the key does not exist.
struct ShareSlot
{
  std::optional<ShareOwner> mOwner;
  Revision mModRevision = 0;
};

/// Write to make by compare-and-swap: take slot `mSlot` if its key is still at
/// `mModRevision` (0 = does not exist).
struct SlotClaim
{
  std::int32_t mSlot = 0;
  Revision mModRevision = 0;
};

/// Decides how much of every contract's limits this entry may use, without a
/// central counter.
///
/// Inputs: what the entry read from the store, with the time at which the call
/// STARTED, since the answer may have waited. Outputs: a ShareAllocation to
/// publish and the share slot to claim.
///
/// Promises: the usable shares of all entries together never exceed a limit,
/// with entries that join, die, freeze or are cut off, and with a store that
/// is away, as long as clocks run within 1% of each other. A frozen entry that
/// wakes finds its parts lapsed by its own clock.
class ShareAllocator
{
public:
  ShareAllocator(ShareSettings aSettings, ShareOwner aSelf);

  /// The own roster key was written under a new store lease; `aConfirmed` is
  /// when the answer arrived. Others may use the roster without it until then.
  void OnJoined(Instant aConfirmed);

  /// The own store lease lapsed or was given up.
  void OnLeft();

  /// A keep-alive and then a listing of the roster succeeded.
  void OnRoster(Instant aStarted, std::span<const EntryId> aLive);

  /// The slots were read, in order, all mSlots of them; returns the claim to
  /// make, if any. `aLive` is the roster of the same time. The claim takes
  /// effect here only when a later listing shows it.
  /// Standing parts count from `aStarted`; `aAnswered` is now.
  std::optional<SlotClaim> OnSlots(Instant aStarted,
                                   Instant aAnswered,
                                   std::span<const ShareSlot> aSlots,
                                   std::span<const EntryId> aLive);

  /// Before the slot is released for good: it is not used from now on.
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
  /// Owners of slots that are not in the roster, and since when without a
  /// gap in which they could have been there.
  absl::flat_hash_map<EntryId, Instant> mOwnerAbsentSince;
  Instant mLastRead{};
};

} // namespace foxtailbarrow
