#include "src/core/job/JobScheduler.h"
#include "src/core/job/JobTransitions.h"
#include "src/core/placement/FairOrder.h"

/// The part of JobScheduler that finds workers for waiting jobs.
namespace foxtailbarrow {

void JobScheduler::PlaceWaiting(CallContext& aContext)
{
  int placements = mSettings.mPlacementsPerTick;
  PlaceWaiting(JobPriority::Urgent, placements, aContext);
  PlaceWaiting(JobPriority::Normal, placements, aContext);
}

void JobScheduler::PlaceWaiting(JobPriority aPriority,
                                int& aPlacements,
                                CallContext& aContext)
{
  FairOrder order(mAllocations.Quotas(),
                  mAllocations.Workers().TotalCapacity());
  for (const CustomerId& customer : mReady.Customers(aPriority)) {
    order.Push(customer);
  }
  int misses = mSettings.mMissesPerTick;
  absl::flat_hash_map<CustomerId, int> missed;
  while (aPlacements > 0 && misses > 0) {
    const auto customer = order.Pop();
    if (!customer) {
      return;
    }
    JobEntry* entry = NextWaiting(*customer, aPriority);
    if (entry == nullptr) {
      continue;
    }
    const Placement placement = Place(*entry, aContext);
    if (placement == Placement::Placed) {
      --aPlacements;
      order.Push(*customer);
      continue;
    }
    if (placement == Placement::AwaitsEvictions) {
      Requeue(*entry);
      continue;
    }
    const bool noCapacity = placement == Placement::NoFreeCapacity;
    --misses;
    OnNotPlaced(*entry,
                noCapacity ? Reason::WaitingForCapacity
                           : Reason::WaitingForQuota,
                aContext);
    if (noCapacity && ++missed[*customer] < mSettings.mMissesPerCustomer) {
      order.Push(*customer);
    }
  }
}

/// Removes the customer's first waiting job from the queue.
JobEntry* JobScheduler::NextWaiting(const CustomerId& aCustomer,
                                    JobPriority aPriority)
{
  while (const auto queued = mReady.Pop(aCustomer, aPriority)) {
    JobEntry* entry = mTable.Find(queued->mJob);
    if (entry != nullptr && entry->mTicket == queued->mTicket) {
      entry->mTicket = 0;
      return entry;
    }
  }
  return nullptr;
}

JobScheduler::Placement JobScheduler::Place(JobEntry& aEntry,
                                            CallContext& aContext)
{
  if (aEntry.mReservedOn) {
    return PlaceReserved(aEntry, aContext);
  }
  const JobSpec& spec = aEntry.Spec();
  const Resources size = SizeOf(aEntry);
  const QuotaTracker& quotas = mAllocations.Quotas();
  if (quotas.Check(spec.mCustomer, size) != Reason::None) {
    return Placement::NoQuota;
  }
  const PlacementRequest request = RequestFor(aEntry, size);
  const auto slot = Choose(mSettings.mPolicy,
                           request,
                           mAllocations.Workers(),
                           mAllocations.Load(),
                           aContext.mRandom);
  if (slot) {
    mAllocations.Reserve(aEntry, *slot, size);
    CommitPlacement(aEntry, *slot, aContext);
    return Placement::Placed;
  }
  const bool mayEvict = spec.mPriority == JobPriority::Urgent &&
                        quotas.Find(spec.mCustomer)->mUrgentAllowed;
  if (mayEvict && EvictFor(aEntry, request, aContext)) {
    return Placement::AwaitsEvictions;
  }
  // Every worker may be in mAvoid, so clear it before the next attempt.
  aEntry.mAvoid.clear();
  return Placement::NoFreeCapacity;
}

PlacementRequest JobScheduler::RequestFor(const JobEntry& aEntry,
                                          const Resources& aSize) const
{
  const JobSpec& spec = aEntry.Spec();
  PlacementRequest request;
  request.mCustomer = spec.mCustomer;
  request.mKind = spec.mKind;
  request.mSize = aSize;
  request.mSharePerWorker =
    mAllocations.Quotas().Find(spec.mCustomer)->mBatch.mSharePerWorker;
  request.mAvoid = aEntry.mAvoid;
  return request;
}

void JobScheduler::CommitPlacement(JobEntry& aEntry,
                                   WorkerSlot aSlot,
                                   CallContext& aContext)
{
  const AgentId& agent = mAllocations.Workers().At(aSlot).mAgent;
  Commit(aEntry, AssignedTo(aEntry.Record(), agent), aContext);
}

void JobScheduler::OnNotPlaced(JobEntry& aEntry,
                               Reason aReason,
                               CallContext& aContext)
{
  RecordDecision(aEntry, aReason, aContext);
  const JobSpec& spec = aEntry.Spec();
  const bool tooLarge =
    !mAllocations.Workers().FitsSomewhereEmpty(SizeOf(aEntry)) ||
    !mAllocations.Quotas().CanEverRun(spec.mCustomer, SizeOf(aEntry));
  if (tooLarge &&
      aContext.mNow >= aEntry.mWaitingSince + mSettings.mParkAfter) {
    Commit(
      aEntry, Parked(aEntry.Record(), Reason::LargerThanAnyWorker), aContext);
    return;
  }
  if (aEntry.IsAssigned()) {
    Commit(aEntry, Requeued(aEntry.Record(), aReason), aContext);
    return;
  }
  Requeue(aEntry);
}

void JobScheduler::Requeue(JobEntry& aEntry)
{
  const JobSpec& spec = aEntry.Spec();
  aEntry.mTicket = mReady.Push(spec.mCustomer, spec.mPriority, spec.mId);
}

} // namespace foxtailbarrow
