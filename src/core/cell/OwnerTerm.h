#pragma once

#include <algorithm>

#include "foxtailbarrow/Contract.h"
#include "foxtailbarrow/Time.h"
#include "src/core/cell/CellMessages.h"
#include "src/core/cell/CellSettings.h"
#include "src/core/cell/recovery/Predecessor.h"

namespace foxtailbarrow::cell {

/// Limits how long the owner of a cell may grant leases.
///
/// A confirmation is a store call whose answer shows this owner's record
/// unchanged. It counts from the time the call was sent, so that the
/// transaction of any successor is later. Leases end within mOwnershipTimeout
/// of it, which is how long a successor waits for an agent that does not
/// answer.
class OwnerTerm
{
public:
  OwnerTerm(Generation aGeneration,
            Revision aCellRevision,
            Instant aConfirmedAt,
            CellSettings aSettings,
            Predecessor aBefore = {})
    : mGeneration(aGeneration)
    , mCellRevision(aCellRevision)
    , mConfirmedAt(aConfirmedAt)
    , mSettings(aSettings)
    , mBefore(aBefore)
  {
  }

  Generation OwnGeneration() const { return mGeneration; }
  /// Every write of the owner depends on this revision of the cell's record.
  Revision CellRevision() const { return mCellRevision; }
  Instant ConfirmedAt() const { return mConfirmedAt; }
  /// The owner that this one has replaced.
  const Predecessor& Before() const { return mBefore; }

  void Confirm(Instant aSentAt)
  {
    mConfirmedAt = std::max(mConfirmedAt, aSentAt);
  }

  /// The owner's key was written or renewed for `aTtl` by a call sent at
  /// `aSentAt`.
  void ExtendKey(Instant aSentAt, Duration aTtl)
  {
    mKeyUntil = std::max(mKeyUntil, aSentAt + aTtl);
  }

  /// True while no other scheduler can own the cell, so that the state known
  /// here is the newest. Ends before GrantAt() does, as another scheduler may
  /// own the cell before the last leases of this one expire.
  bool IsSole(Instant aNow) const { return aNow < mKeyUntil; }

  /// The longest lease that may be granted now; zero when the store has not
  /// confirmed the owner for too long.
  Duration GrantAt(Instant aNow) const
  {
    const Duration left = mConfirmedAt + mSettings.mOwnershipTimeout - aNow;
    return std::clamp(left, Duration::zero(), mSettings.mMaxTaskLease);
  }

private:
  Generation mGeneration;
  Revision mCellRevision;
  Instant mConfirmedAt;
  Instant mKeyUntil{};
  CellSettings mSettings;
  Predecessor mBefore;
};

} // namespace foxtailbarrow::cell
