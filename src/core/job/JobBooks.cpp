#include "src/core/job/JobBooks.h"

#include <algorithm>

namespace foxtailbarrow {

void JobBooks::Reserve(JobEntry& aEntry,
                       WorkerSlot aWorker,
                       const Resources& aSize)
{
  Book(aEntry, { aSize, aWorker, true });
}

void JobBooks::Adopt(JobEntry& aEntry,
                     std::optional<WorkerSlot> aWorker,
                     const Resources& aSize)
{
  Book(aEntry, { aSize, aWorker, false });
}

void JobBooks::Confirm(JobEntry& aEntry,
                       WorkerSlot aWorker,
                       const Resources& aSize)
{
  const auto& held = aEntry.mBooking;
  if (held && !held->mPending && held->mWorker == aWorker &&
      held->mSize == aSize) {
    return;
  }
  Book(aEntry, { aSize, aWorker, false });
}

std::vector<JobEntry*> JobBooks::HoldersOf(WorkerSlot aWorker) const
{
  if (aWorker >= mHolders.size()) {
    return {};
  }
  const auto& holders = mHolders[aWorker];
  std::vector<JobEntry*> sorted(holders.begin(), holders.end());
  std::ranges::sort(sorted, {}, &JobEntry::mSerial);
  return sorted;
}

void JobBooks::Book(JobEntry& aEntry, const Booking& aBooking)
{
  Release(aEntry);
  const CustomerId& customer = aEntry.Spec().mCustomer;
  mQuotas.Add(customer, aBooking.mSize);
  if (aBooking.mWorker) {
    const WorkerSlot slot = *aBooking.mWorker;
    mLoad.Add(customer, slot, mWorkers.At(slot), aBooking.mSize);
    mHolders.resize(std::max<std::size_t>(mHolders.size(), slot + 1));
    mHolders[slot].insert(&aEntry);
    if (aBooking.mPending) {
      mWorkers.AddPending(slot, aBooking.mSize);
    }
  }
  aEntry.mBooking = aBooking;
}

void JobBooks::Release(JobEntry& aEntry)
{
  if (!aEntry.mBooking) {
    return;
  }
  const Booking booking = *aEntry.mBooking;
  aEntry.mBooking.reset();
  const CustomerId& customer = aEntry.Spec().mCustomer;
  mQuotas.Subtract(customer, booking.mSize);
  if (booking.mWorker) {
    const WorkerSlot slot = *booking.mWorker;
    mLoad.Remove(customer, slot, mWorkers.At(slot), booking.mSize);
    mHolders[slot].erase(&aEntry);
    if (booking.mPending) {
      mWorkers.RemovePending(slot, booking.mSize);
    }
  }
}

} // namespace foxtailbarrow
