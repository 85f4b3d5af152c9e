#pragma once

#include <cstdint>
#include <optional>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow {

/// What an entry may count on at the moment when it decides on a request:
/// immutable, so that request threads read one snapshot. Made by
/// ShareAllocator.
struct ShareAllocation
{
  std::int32_t mStandingPermille = 0;
  std::int32_t mSlots = 1;
  std::optional<std::int32_t> mSlot; ///< Own share slot, 0..mSlots-1.
  Instant mStandingUntil{};
  std::int32_t mLiveEntries =
    0;                    ///< Entries of the roster, the own one included.
  std::int32_t mRank = 0; ///< Own place among them by id, 0..mLiveEntries-1.
  Instant mLeaseFrom{};   ///< The lease part counts from here
  Instant mLeaseUntil{};  ///< until here, this instant excluded.
};

/// `aAmount` over `aParts`, the remainder to the first parts: the sum over all
/// places is exactly `aAmount`. More parts and a later place never give more,
/// which the proof in docs/design/0003-limit-shares.md rests on.
std::int64_t SplitEvenly(std::int64_t aAmount,
                         std::int32_t aParts,
                         std::int32_t aIndex);

/// How much of a limit that holds for the whole fleet this entry may use now.
/// The sum over all entries never exceeds the limit. Units are the limit's.
std::int64_t UsableShare(std::int64_t aLimit,
                         const ShareAllocation& aAllocation,
                         Instant aNow);

/// True while the lease part may be used.
bool HasLeasePart(const ShareAllocation& aAllocation, Instant aNow);

} // namespace foxtailbarrow
