#pragma once

#include <optional>
#include <vector>

#include "apps/entry/ControlContext.h"
#include "src/core/admission/ShareAllocator.h"
#include "src/core/base/Snapshot.h"
#include "src/core/ownership/ShardOwnership.h"

namespace foxtailbarrow::entry {

/// Runs ShareAllocator: passes it the rosters that ownership rounds confirm,
/// claims a share slot in the store, and publishes to the request threads how
/// much of each limit this entry may use.
class ShareDriver
{
public:
  ShareDriver(ControlContext& aContext,
              const ShareSettings& aSettings,
              const ShareOwner& aSelf,
              const ShardOwnership& aOwnership,
              Snapshot<ShareAllocation>& aAllocation);

  /// Starts the fibers.
  void Start();

  /// Releases the slot permanently on a planned shutdown. Suspends the fiber.
  void Release();

private:
  void UpdateRoster();
  void ReadSlots();
  void Claim(const SlotClaim& aClaim);
  std::vector<EntryId> LiveIds() const;
  std::vector<ShareSlot> SlotsOf(const StoreListing& aListing) const;

  ControlContext& mContext;
  ShareSettings mSettings;
  ShareOwner mSelf;
  const ShardOwnership& mOwnership;
  Snapshot<ShareAllocation>& mAllocation;
  ShareAllocator mAllocator;
  std::optional<StoreLease> mTenure;
  std::optional<Instant> mRosterConfirmedAt;
  bool mReleased = false;
};

} // namespace foxtailbarrow::entry
