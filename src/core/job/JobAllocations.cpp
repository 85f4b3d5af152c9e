#include "src/core/job/JobAllocations.h"

#include <algorithm>

namespace foxtailbarrow {

void JobAllocations::Reserve(JobEntry& aEntry,
                             WorkerSlot aWorker,
                             const Resources& aSize)
{
  Allocate(aEntry, { aSize, aWorker, true });
}

void JobAllocations::Adopt(JobEntry& aEntry,
                           std::optional<WorkerSlot> aWorker,
                           const Resources& aSize)
{
  Allocate(aEntry, { aSize, aWorker, false });
}

void JobAllocations::Confirm(JobEntry& aEntry,
                             WorkerSlot aWorker,
                             const Resources& aSize)
{
  const auto& current = aEntry.mAllocation;
  if (current && !current->mPending && current->mWorker == aWorker &&
      current->mSize == aSize) {
    return;
  }
  Allocate(aEntry, { aSize, aWorker, false });
}

std::vector<JobEntry*> JobAllocations::JobsOn(WorkerSlot aWorker) const
{
  if (aWorker >= mJobsByWorker.size()) {
    return {};
  }
  const auto& jobs = mJobsByWorker[aWorker];
  std::vector<JobEntry*> sorted(jobs.begin(), jobs.end());
  std::ranges::sort(sorted, {}, &JobEntry::mSerial);
  return sorted;
}

void JobAllocations::Allocate(JobEntry& aEntry, const Allocation& aAllocation)
{
  Release(aEntry);
  const CustomerId& customer = aEntry.Spec().mCustomer;
  mQuotas.Add(customer, aAllocation.mSize);
  if (aAllocation.mWorker) {
    const WorkerSlot slot = *aAllocation.mWorker;
    mLoad.Add(customer, slot, mWorkers.At(slot), aAllocation.mSize);
    mJobsByWorker.resize(std::max<std::size_t>(mJobsByWorker.size(), slot + 1));
    mJobsByWorker[slot].insert(&aEntry);
    if (aAllocation.mPending) {
      mWorkers.AddPending(slot, aAllocation.mSize);
    }
  }
  aEntry.mAllocation = aAllocation;
}

void JobAllocations::Release(JobEntry& aEntry)
{
  if (!aEntry.mAllocation) {
    return;
  }
  const Allocation allocation = *aEntry.mAllocation;
  aEntry.mAllocation.reset();
  const CustomerId& customer = aEntry.Spec().mCustomer;
  mQuotas.Subtract(customer, allocation.mSize);
  if (allocation.mWorker) {
    const WorkerSlot slot = *allocation.mWorker;
    mLoad.Remove(customer, slot, mWorkers.At(slot), allocation.mSize);
    mJobsByWorker[slot].erase(&aEntry);
    if (allocation.mPending) {
      mWorkers.RemovePending(slot, allocation.mSize);
    }
  }
}

} // namespace foxtailbarrow
