#include "src/core/job/JobAllocations.h"

#include <algorithm>

namespace foxtailbarrow {

void JobAllocations::Reserve(JobEntry& aEntry,
                             WorkerSlot aWorker,
                             const Resources& aSize)
{
  Book(aEntry, { aSize, aWorker, true });
}

void JobAllocations::Adopt(JobEntry& aEntry,
                           std::optional<WorkerSlot> aWorker,
                           const Resources& aSize)
{
  Book(aEntry, { aSize, aWorker, false });
}

void JobAllocations::Confirm(JobEntry& aEntry,
                             WorkerSlot aWorker,
                             const Resources& aSize)
{
  const auto& held = aEntry.mAllocation;
  if (held && !held->mPending && held->mWorker == aWorker &&
      held->mSize == aSize) {
    return;
  }
  Book(aEntry, { aSize, aWorker, false });
}

std::vector<JobEntry*> JobAllocations::JobsOn(WorkerSlot aWorker) const
{
  if (aWorker >= mJobsByWorker.size()) {
    return {};
  }
  const auto& holders = mJobsByWorker[aWorker];
  std::vector<JobEntry*> sorted(holders.begin(), holders.end());
  std::ranges::sort(sorted, {}, &JobEntry::mSerial);
  return sorted;
}

void JobAllocations::Book(JobEntry& aEntry, const Allocation& aBooking)
{
  Release(aEntry);
  const CustomerId& customer = aEntry.Spec().mCustomer;
  mQuotas.Add(customer, aBooking.mSize);
  if (aBooking.mWorker) {
    const WorkerSlot slot = *aBooking.mWorker;
    mLoad.Add(customer, slot, mWorkers.At(slot), aBooking.mSize);
    mJobsByWorker.resize(std::max<std::size_t>(mJobsByWorker.size(), slot + 1));
    mJobsByWorker[slot].insert(&aEntry);
    if (aBooking.mPending) {
      mWorkers.AddPending(slot, aBooking.mSize);
    }
  }
  aEntry.mAllocation = aBooking;
}

void JobAllocations::Release(JobEntry& aEntry)
{
  if (!aEntry.mAllocation) {
    return;
  }
  const Allocation booking = *aEntry.mAllocation;
  aEntry.mAllocation.reset();
  const CustomerId& customer = aEntry.Spec().mCustomer;
  mQuotas.Subtract(customer, booking.mSize);
  if (booking.mWorker) {
    const WorkerSlot slot = *booking.mWorker;
    mLoad.Remove(customer, slot, mWorkers.At(slot), booking.mSize);
    mJobsByWorker[slot].erase(&aEntry);
    if (booking.mPending) {
      mWorkers.RemovePending(slot, booking.mSize);
    }
  }
}

} // namespace foxtailbarrow
