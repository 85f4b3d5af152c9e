#include "src/core/admission/ShareAllocation.h"

#include <algorithm>

namespace foxtailbarrow {

namespace {

constexpr std::int64_t kPermille = 1000;

} // namespace

std::int64_t SplitEvenly(std::int64_t aAmount,
                         std::int32_t aParts,
                         std::int32_t aIndex)
{
  if (aParts <= 0 || aIndex < 0 || aIndex >= aParts) {
    return 0;
  }
  return aAmount / aParts + (aIndex < aAmount % aParts ? 1 : 0);
}

bool HasLeasePart(const ShareAllocation& aAllocation, Instant aNow)
{
  return aNow >= aAllocation.mLeaseFrom && aNow < aAllocation.mLeaseUntil;
}

std::int64_t UsableShare(std::int64_t aLimit,
                         const ShareAllocation& aAllocation,
                         Instant aNow)
{
  const std::int64_t limit = std::max<std::int64_t>(aLimit, 0);
  const std::int64_t standing =
    limit * aAllocation.mStandingPermille / kPermille;
  std::int64_t share = 0;
  if (aAllocation.mSlot && aNow < aAllocation.mStandingUntil) {
    share += SplitEvenly(standing, aAllocation.mSlots, *aAllocation.mSlot);
  }
  if (HasLeasePart(aAllocation, aNow)) {
    share += SplitEvenly(
      limit - standing, aAllocation.mLiveEntries, aAllocation.mRank);
  }
  return share;
}

} // namespace foxtailbarrow
