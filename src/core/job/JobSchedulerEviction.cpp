#include <utility>

#include "src/core/job/JobScheduler.h"

/// The part of JobScheduler that makes room for urgent jobs.
namespace foxtailbarrow {

namespace {

/// Running batch work that nobody has asked to go yet.
bool IsEvictable(const JobEntry& aEntry)
{
  const JobSpec& spec = aEntry.Spec();
  return spec.mKind == JobKind::Batch &&
         spec.mPriority == JobPriority::Normal && aEntry.IsAssigned() &&
         !aEntry.mEnd && aEntry.mWhereabouts == Whereabouts::Running &&
         aEntry.mEvictReason == Reason::None;
}

} // namespace

/// Evicts batch tasks on the worker where that costs least among a sample, and
/// holds the room.
bool JobScheduler::MakeRoom(JobEntry& aEntry,
                            const PlacementRequest& aRequest,
                            Turn& aTurn)
{
  const WorkerIndex& workers = mBooks.Workers();
  std::optional<EvictionPlan> best;
  WorkerSlot bestSlot = 0;
  const auto sample = SampleWorkers(aRequest, workers, aTurn.mRandom);
  for (const WorkerSlot slot : sample) {
    const auto candidates = EvictableOn(slot, aTurn);
    auto plan = PlanEviction(aRequest.mSize, workers.Free(slot), candidates);
    const bool allowed = plan && RespectsShare(*plan, aRequest, slot);
    if (allowed && (!best || plan->mCost < best->mCost)) {
      best = std::move(plan);
      bestSlot = slot;
    }
  }
  if (!best) {
    return false;
  }
  mBooks.Reserve(aEntry, bestSlot, aRequest.mSize);
  aEntry.mHeldFor = bestSlot;
  aEntry.mHeldUntil = aTurn.mNow + mSettings.mHoldRoom;
  Note(aEntry, Reason::WaitingForCapacity, aTurn, bestSlot);
  for (const TaskKey& victim : best->mVictims) {
    JobEntry& evicted = *mTable.Find(victim.mJob);
    evicted.mEvictReason = Reason::EvictedForUrgent;
    evicted.mResendAt = Instant{};
    Note(evicted, Reason::EvictedForUrgent, aTurn, bestSlot);
    Advance(evicted, aTurn);
  }
  return true;
}

/// True when the customer keeps within its share of the worker, once the
/// victims are gone.
bool JobScheduler::RespectsShare(const EvictionPlan& aPlan,
                                 const PlacementRequest& aRequest,
                                 WorkerSlot aSlot) const
{
  std::int64_t used = mBooks.Load().Millicores(aRequest.mCustomer, aSlot);
  for (const TaskKey& victim : aPlan.mVictims) {
    const JobEntry& entry = *mTable.Find(victim.mJob);
    if (entry.Spec().mCustomer == aRequest.mCustomer) {
      used -= entry.mBooking->mSize.mMillicores;
    }
  }
  return WithinShare(aRequest, mBooks.Workers().At(aSlot), used);
}

std::vector<EvictionCandidate> JobScheduler::EvictableOn(
  WorkerSlot aSlot,
  const Turn& aTurn) const
{
  std::vector<EvictionCandidate> candidates;
  for (const JobEntry* entry : mBooks.HoldersOf(aSlot)) {
    if (!IsEvictable(*entry)) {
      continue;
    }
    const Contract* contract = mBooks.Quotas().Find(entry->Spec().mCustomer);
    EvictionCandidate candidate;
    candidate.mKey = entry->Key();
    candidate.mSize = entry->mBooking->mSize;
    candidate.mRunTime = aTurn.mNow - entry->mStartedAt;
    candidate.mWeight = contract ? contract->mWeights.mEvictions : 0.0;
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

/// Takes the room once the worker's own count shows it.
JobScheduler::Placement JobScheduler::PlaceHeld(JobEntry& aEntry, Turn& aTurn)
{
  const WorkerSlot slot = *aEntry.mHeldFor;
  const bool placeable = mBooks.Workers().Placeable(slot);
  if (placeable && Resources{}.FitsIn(mBooks.Workers().Free(slot))) {
    CommitPlacement(aEntry, slot, aTurn);
    return Placement::Placed;
  }
  if (placeable && aTurn.mNow < aEntry.mHeldUntil) {
    return Placement::Held;
  }
  mBooks.Release(aEntry);
  aEntry.mHeldFor.reset();
  return Placement::NoRoom;
}

} // namespace foxtailbarrow
