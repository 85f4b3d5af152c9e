#include "src/core/admission/ShareBasis.h"

#include <algorithm>

namespace foxtailbarrow {

namespace {

constexpr std::int64_t kPermille = 1000;

} // namespace

std::int64_t PartOf(std::int64_t aAmount,
                    std::int32_t aParts,
                    std::int32_t aPlace)
{
  if (aParts <= 0 || aPlace < 0 || aPlace >= aParts) {
    return 0;
  }
  return aAmount / aParts + (aPlace < aAmount % aParts ? 1 : 0);
}

bool HasLeasePart(const ShareBasis& aBasis, Instant aNow)
{
  return aNow >= aBasis.mLeaseFrom && aNow < aBasis.mLeaseUntil;
}

std::int64_t UsableShare(std::int64_t aLimit,
                         const ShareBasis& aBasis,
                         Instant aNow)
{
  const std::int64_t limit = std::max<std::int64_t>(aLimit, 0);
  const std::int64_t standing = limit * aBasis.mStandingPermille / kPermille;
  std::int64_t share = 0;
  if (aBasis.mSlot && aNow < aBasis.mStandingUntil) {
    share += PartOf(standing, aBasis.mSlots, *aBasis.mSlot);
  }
  if (HasLeasePart(aBasis, aNow)) {
    share += PartOf(limit - standing, aBasis.mLive, aBasis.mRank);
  }
  return share;
}

} // namespace foxtailbarrow
