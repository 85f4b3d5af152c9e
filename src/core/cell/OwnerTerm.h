#pragma once

#include <algorithm>

#include "foxtailbarrow/Contract.h"
#include "foxtailbarrow/Time.h"
#include "src/core/cell/CellMessages.h"
#include "src/core/cell/CellSettings.h"

namespace foxtailbarrow::cell {

/// How long the owner of a cell may grant leases.
///
/// A confirmation is a call that the store answered in a way that shows this
/// owner's record unchanged. It is dated by its sending, so that a taker's
/// transaction came later than that. Leases end within mOwnershipTimeout of it,
/// which is what a taker waits for where an agent does not answer.
class OwnerTerm
{
public:
  OwnerTerm(Generation aGeneration,
            Revision aCellRevision,
            Instant aConfirmedAt,
            CellSettings aSettings)
    : mGeneration(aGeneration)
    , mCellRevision(aCellRevision)
    , mConfirmedAt(aConfirmedAt)
    , mSettings(aSettings)
  {
  }

  Generation OwnGeneration() const { return mGeneration; }
  /// Every write of the owner depends on this revision of the cell's record.
  Revision CellRevision() const { return mCellRevision; }
  Instant ConfirmedAt() const { return mConfirmedAt; }

  void Confirm(Instant aSentAt)
  {
    mConfirmedAt = std::max(mConfirmedAt, aSentAt);
  }

  /// The owner's key was written or renewed for `aTtl` by a call sent then.
  void ExtendKey(Instant aSentAt, Duration aTtl)
  {
    mKeyUntil = std::max(mKeyUntil, aSentAt + aTtl);
  }

  /// No other scheduler owns the cell, so that what is known here is the
  /// newest. Shorter than what GrantAt() rests on, as another one may own the
  /// cell before the last leases of this one have run out.
  bool IsSole(Instant aNow) const { return aNow < mKeyUntil; }

  /// The lease that may be granted now; zero when the store has been silent for
  /// too long.
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
};

} // namespace foxtailbarrow::cell
