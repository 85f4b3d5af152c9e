#pragma once

#include "foxtailbarrow/Store.h"
#include "foxtailbarrow/Time.h"
#include "src/core/cell/CellSettings.h"

namespace foxtailbarrow::cell {

/// What a new owner knows of the owner before it.
struct Predecessor
{
  /// Its process has ended: the new owner listens at its address.
  bool mEnded = false;
  Revision mCellRevision = 0; ///< Of the cell's record in its term.
};

/// When all leases that earlier owners granted are over, for a takeover at
/// `aNow`. `aLearnedRevision` is that of the record of what was learned; 0 =
/// none.
///
/// An owner that may be alive grants leases until mOwnershipTimeout after its
/// last confirmation. One that has ended grants none, and its last leases are
/// mMaxTaskLease long. The owner before that one is out of the question if the
/// predecessor held the cell for kLearnedSaveInterval, which a record that it
/// wrote shows.
///
/// Load pattern: all processes lose power while workers are replaced. Workers
/// that leave meanwhile never report, and inherited work waits for them.
Instant EarlierLeasesEnd(const Predecessor& aPredecessor,
                         Revision aLearnedRevision,
                         const CellSettings& aSettings,
                         Instant aNow);

} // namespace foxtailbarrow::cell
