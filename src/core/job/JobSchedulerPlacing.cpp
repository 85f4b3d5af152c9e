#include "src/core/job/JobScheduler.h"
#include "src/core/job/JobTransitions.h"
#include "src/core/placement/FairOrder.h"

/// The part of JobScheduler that finds workers for waiting jobs.
namespace foxtailbarrow {

void JobScheduler::PlaceWaiting(Turn& aTurn)
{
  int placements = mSettings.mPlacementsPerTick;
  PlaceWaiting(JobPriority::Urgent, placements, aTurn);
  PlaceWaiting(JobPriority::Normal, placements, aTurn);
}

void JobScheduler::PlaceWaiting(JobPriority aPriority,
                                int& aPlacements,
                                Turn& aTurn)
{
  FairOrder order(mBooks.Quotas(), mBooks.Workers().TotalCapacity());
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
    const Placement placement = Place(*entry, aTurn);
    if (placement == Placement::Placed) {
      --aPlacements;
      order.Push(*customer);
      continue;
    }
    if (placement == Placement::Held) {
      Requeue(*entry);
      continue;
    }
    const bool room = placement == Placement::NoRoom;
    --misses;
    Miss(*entry,
         room ? Reason::WaitingForCapacity : Reason::WaitingForQuota,
         aTurn);
    if (room && ++missed[*customer] < mSettings.mMissesPerCustomer) {
      order.Push(*customer);
    }
  }
}

/// The customer's first waiting job, taken off the queue.
JobEntry* JobScheduler::NextWaiting(const CustomerId& aCustomer,
                                    JobPriority aPriority)
{
  while (const auto place = mReady.Pop(aCustomer, aPriority)) {
    JobEntry* entry = mTable.Find(place->mJob);
    if (entry != nullptr && entry->mTicket == place->mTicket) {
      entry->mTicket = 0;
      return entry;
    }
  }
  return nullptr;
}

JobScheduler::Placement JobScheduler::Place(JobEntry& aEntry, Turn& aTurn)
{
  if (aEntry.mHeldFor) {
    return PlaceHeld(aEntry, aTurn);
  }
  const JobSpec& spec = aEntry.Spec();
  const Resources size = SizeOf(aEntry);
  const QuotaBook& quotas = mBooks.Quotas();
  if (quotas.Check(spec.mCustomer, size) != Reason::None) {
    return Placement::NoQuota;
  }
  const PlacementRequest request = RequestFor(aEntry, size);
  const auto slot = Choose(
    mSettings.mPolicy, request, mBooks.Workers(), mBooks.Load(), aTurn.mRandom);
  if (slot) {
    mBooks.Reserve(aEntry, *slot, size);
    CommitPlacement(aEntry, *slot, aTurn);
    return Placement::Placed;
  }
  const bool mayEvict = spec.mPriority == JobPriority::Urgent &&
                        quotas.Find(spec.mCustomer)->mUrgentAllowed;
  if (mayEvict && MakeRoom(aEntry, request, aTurn)) {
    return Placement::Held;
  }
  // Every worker may be among those to avoid: they get another chance.
  aEntry.mAvoid.clear();
  return Placement::NoRoom;
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
    mBooks.Quotas().Find(spec.mCustomer)->mBatch.mSharePerWorker;
  request.mAvoid = aEntry.mAvoid;
  return request;
}

void JobScheduler::CommitPlacement(JobEntry& aEntry,
                                   WorkerSlot aSlot,
                                   Turn& aTurn)
{
  const AgentId& agent = mBooks.Workers().At(aSlot).mAgent;
  Commit(aEntry, AssignedTo(aEntry.Record(), agent), aTurn);
}

void JobScheduler::Miss(JobEntry& aEntry, Reason aReason, Turn& aTurn)
{
  Note(aEntry, aReason, aTurn);
  const JobSpec& spec = aEntry.Spec();
  const bool tooLarge =
    !mBooks.Workers().FitsSomewhereEmpty(SizeOf(aEntry)) ||
    !mBooks.Quotas().CanEverRun(spec.mCustomer, SizeOf(aEntry));
  if (tooLarge && aTurn.mNow >= aEntry.mWaitingSince + mSettings.mParkAfter) {
    Commit(aEntry, Parked(aEntry.Record(), Reason::LargerThanAnyWorker), aTurn);
    return;
  }
  if (aEntry.IsAssigned()) {
    Commit(aEntry, Requeued(aEntry.Record(), aReason), aTurn);
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
