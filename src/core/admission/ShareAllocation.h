#pragma once

#include <cstdint>
#include <optional>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow {

/// The shares of the limits that an entry may use when it decides on a request.
/// Immutable, so that request threads read one consistent value. Made by
/// ShareAllocator.
struct ShareAllocation
{
  std::int32_t mStandingPermille = 0;
  std::int32_t mSlots = 1;
  std::optional<std::int32_t> mSlot; ///< Own share slot, 0..mSlots-1.
  Instant mStandingUntil{};
  std::int32_t mLiveEntries = 0; ///< In the roster, including this one.
  std::int32_t mRank = 0; ///< Rank of this entry by id, 0..mLiveEntries-1.
  Instant mLeaseFrom{};   ///< Start of the lease part.
  Instant mLeaseUntil{};  ///< End of the lease part, exclusive.
};

/// Part `aIndex` of `aAmount` split into `aParts`, the remainder going to the
/// first parts: all parts add up to exactly `aAmount`. More parts or a larger
/// index never give more, which the proof in docs/design/0003-limit-shares.md
/// relies on.
std::int64_t SplitEvenly(std::int64_t aAmount,
                         std::int32_t aParts,
                         std::int32_t aIndex);

/// How much of a fleet-wide limit this entry may use now, in the limit's units.
/// The sum over all entries never exceeds the limit.
std::int64_t UsableShare(std::int64_t aLimit,
                         const ShareAllocation& aAllocation,
                         Instant aNow);

/// True while the lease part may be used.
bool HasLeasePart(const ShareAllocation& aAllocation, Instant aNow);

} // namespace foxtailbarrow
