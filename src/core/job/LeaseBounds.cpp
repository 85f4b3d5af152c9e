#include "src/core/job/LeaseBounds.h"

#include <algorithm>

namespace foxtailbarrow {

LeaseBounds::Bound& LeaseBounds::At(WorkerSlot aSlot)
{
  if (aSlot >= mBounds.size()) {
    mBounds.resize(aSlot + 1);
  }
  return mBounds[aSlot];
}

void LeaseBounds::OnHeartbeat(WorkerSlot aSlot,
                              const Heartbeat& aHeartbeat,
                              Instant aNow)
{
  Bound& bound = At(aSlot);
  bound.mNewest = { aHeartbeat.mIncarnation, aHeartbeat.mSequence, aNow, true };
  bound.mNewestProvesAbsence = aHeartbeat.mState != ServingState::Starting;
}

void LeaseBounds::OnLeasesExtended(WorkerSlot aSlot,
                                   Incarnation aIncarnation,
                                   std::uint64_t aSequence,
                                   Instant aUntil)
{
  Bound& bound = At(aSlot);
  bound.mExtendedUntil = std::max(bound.mExtendedUntil, aUntil);
  const bool newest = bound.mNewest.mIncarnation == aIncarnation &&
                      bound.mNewest.mSequence == aSequence;
  if (!newest || !bound.mNewestProvesAbsence) {
    bound.mUnprovedUntil = std::max(bound.mUnprovedUntil, aUntil);
  }
  if (newest) {
    bound.mBasis = bound.mNewest;
  }
}

const LeaseBasis& LeaseBounds::Basis(WorkerSlot aSlot) const
{
  static const LeaseBasis sNone;
  return aSlot < mBounds.size() ? mBounds[aSlot].mBasis : sNone;
}

Instant LeaseBounds::LapsedAt(WorkerSlot aSlot,
                              const AssignmentLease& aLease) const
{
  if (aSlot >= mBounds.size()) {
    return LapsedWithoutHeartbeat(aLease);
  }
  const Bound& bound = mBounds[aSlot];
  const Instant byAgent = std::max(bound.mExtendedUntil, aLease.mStartUntil);
  const Instant byTask = std::max(
    { aLease.mListedUntil, aLease.mStartUntil + mLease, bound.mUnprovedUntil });
  return std::min(byAgent, byTask) + mMargin;
}

} // namespace foxtailbarrow
