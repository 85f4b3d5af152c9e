#include "src/core/cell/recovery/Predecessor.h"

#include <algorithm>

#include "src/core/cell/records/CellRecords.h"

namespace foxtailbarrow::cell {

Instant EarlierLeasesEnd(const Predecessor& aPredecessor,
                         Revision aLearnedRevision,
                         const CellSettings& aSettings,
                         Instant aNow)
{
  const Instant longest =
    aNow + aSettings.mOwnershipTimeout + aSettings.mLeaseMargin;
  const bool heldForLong = aLearnedRevision > aPredecessor.mCellRevision;
  if (!aSettings.LooksAhead() || !aPredecessor.mEnded || !heldForLong) {
    return longest;
  }
  const Duration ofPredecessor = aSettings.mMaxTaskLease;
  const Duration ofOwnersBefore =
    aSettings.mOwnershipTimeout - kLearnedSaveInterval;
  return std::min(longest,
                  aNow + std::max(ofPredecessor, ofOwnersBefore) +
                    aSettings.mLeaseMargin);
}

} // namespace foxtailbarrow::cell
