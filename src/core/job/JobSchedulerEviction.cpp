#include <utility>

#include "src/core/job/JobScheduler.h"

/// The part of JobScheduler that evicts batch tasks for urgent jobs.
namespace foxtailbarrow {

namespace {

/// True for running batch work that is not being evicted yet.
bool IsEvictable(const JobEntry& aEntry)
{
  const JobSpec& spec = aEntry.Spec();
  return spec.mKind == JobKind::Batch &&
         spec.mPriority == JobPriority::Normal && aEntry.IsAssigned() &&
         !aEntry.mEnd && aEntry.mAssignmentState == AssignmentState::Running &&
         aEntry.mEvictReason == Reason::None;
}

} // namespace

/// Evicts batch tasks on the cheapest worker of a sample and reserves the
/// capacity for the job.
bool JobScheduler::EvictFor(JobEntry& aEntry,
                            const PlacementRequest& aRequest,
                            CallContext& aContext)
{
  const WorkerIndex& workers = mAllocations.Workers();
  std::optional<EvictionPlan> best;
  WorkerSlot bestSlot = 0;
  const auto sample = SampleWorkers(aRequest, workers, aContext.mRandom);
  for (const WorkerSlot slot : sample) {
    const auto candidates = EvictableOn(slot, aContext);
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
  mAllocations.Reserve(aEntry, bestSlot, aRequest.mSize);
  aEntry.mReservedOn = bestSlot;
  aEntry.mReservedUntil = aContext.mNow + mSettings.mReservationTime;
  RecordDecision(aEntry, Reason::WaitingForCapacity, aContext, bestSlot);
  for (const TaskKey& victim : best->mVictims) {
    JobEntry& evicted = *mTable.Find(victim.mJob);
    evicted.mEvictReason = Reason::EvictedForUrgent;
    evicted.mResendAt = Instant{};
    RecordDecision(evicted, Reason::EvictedForUrgent, aContext, bestSlot);
    Advance(evicted, aContext);
  }
  return true;
}

/// True if the customer stays within its share of the worker once the victims
/// have been evicted.
bool JobScheduler::RespectsShare(const EvictionPlan& aPlan,
                                 const PlacementRequest& aRequest,
                                 WorkerSlot aSlot) const
{
  std::int64_t used = mAllocations.Load().Millicores(aRequest.mCustomer, aSlot);
  for (const TaskKey& victim : aPlan.mVictims) {
    const JobEntry& entry = *mTable.Find(victim.mJob);
    if (entry.Spec().mCustomer == aRequest.mCustomer) {
      used -= entry.mAllocation->mSize.mMillicores;
    }
  }
  return WithinShare(aRequest, mAllocations.Workers().At(aSlot), used);
}

std::vector<EvictionCandidate> JobScheduler::EvictableOn(
  WorkerSlot aSlot,
  const CallContext& aContext) const
{
  std::vector<EvictionCandidate> candidates;
  for (const JobEntry* entry : mAllocations.JobsOn(aSlot)) {
    if (!IsEvictable(*entry)) {
      continue;
    }
    const Contract* contract =
      mAllocations.Quotas().Find(entry->Spec().mCustomer);
    EvictionCandidate candidate;
    candidate.mKey = entry->Key();
    candidate.mSize = entry->mAllocation->mSize;
    candidate.mRunTime = aContext.mNow - entry->mStartedAt;
    candidate.mWeight = contract ? contract->mWeights.mEvictions : 0.0;
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

/// Places the job once the capacity reported by the worker suffices.
JobScheduler::Placement JobScheduler::PlaceReserved(JobEntry& aEntry,
                                                    CallContext& aContext)
{
  const WorkerSlot slot = *aEntry.mReservedOn;
  const bool placeable = mAllocations.Workers().Placeable(slot);
  if (placeable && Resources{}.FitsIn(mAllocations.Workers().Free(slot))) {
    CommitPlacement(aEntry, slot, aContext);
    return Placement::Placed;
  }
  if (placeable && aContext.mNow < aEntry.mReservedUntil) {
    return Placement::AwaitsEvictions;
  }
  mAllocations.Release(aEntry);
  aEntry.mReservedOn.reset();
  return Placement::NoFreeCapacity;
}

} // namespace foxtailbarrow
