#include "src/core/placement/WorkerIndex.h"

namespace foxtailbarrow {

namespace {

bool IsOlder(const Heartbeat& aHeartbeat, const WorkerInfo& aWorker)
{
  if (aHeartbeat.mIncarnation != aWorker.mIncarnation) {
    return aHeartbeat.mIncarnation < aWorker.mIncarnation;
  }
  return aHeartbeat.mSequence <= aWorker.mSequence;
}

} // namespace

std::optional<WorkerSlot> WorkerIndex::Update(const Heartbeat& aHeartbeat,
                                              Instant aNow)
{
  const auto known = SlotOf(aHeartbeat.mAgent);
  if (known && IsOlder(aHeartbeat, mWorkers[*known])) {
    return std::nullopt;
  }
  const WorkerSlot slot = known ? *known : Add(aHeartbeat);
  WorkerInfo& worker = mWorkers[slot];
  if (!worker.mSuspect) {
    mByHeartbeat.erase({ worker.mHeartbeatAt, slot });
    mTotal -= worker.mCapacity;
  }
  worker.mEndpoint = aHeartbeat.mEndpoint;
  worker.mRack = aHeartbeat.mRack;
  worker.mFailureDomain = aHeartbeat.mFailureDomain;
  worker.mIncarnation = aHeartbeat.mIncarnation;
  worker.mSequence = aHeartbeat.mSequence;
  worker.mState = aHeartbeat.mState;
  worker.mCapacity = aHeartbeat.mLoad.mCapacity;
  worker.mReserved = aHeartbeat.mLoad.mReserved;
  worker.mHeartbeatAt = aNow;
  worker.mSuspect = false;
  mTotal += worker.mCapacity;
  mByHeartbeat.insert({ aNow, slot });
  mCapacities.Set(slot, worker.mCapacity);
  Refresh(slot);
  return slot;
}

WorkerSlot WorkerIndex::Add(const Heartbeat& aHeartbeat)
{
  const WorkerSlot slot = mFree.Add(FreeTree::kUnavailable);
  mCapacities.Add(FreeTree::kUnavailable);
  WorkerInfo worker;
  worker.mAgent = aHeartbeat.mAgent;
  worker.mSuspect = true;
  mWorkers.push_back(std::move(worker));
  mSlots.emplace(aHeartbeat.mAgent, slot);
  return slot;
}

int WorkerIndex::MarkSuspects(Instant aNow, Duration aSilence)
{
  int count = 0;
  while (!mByHeartbeat.empty() &&
         mByHeartbeat.begin()->first + aSilence < aNow) {
    const WorkerSlot slot = mByHeartbeat.begin()->second;
    mByHeartbeat.erase(mByHeartbeat.begin());
    mWorkers[slot].mSuspect = true;
    mTotal -= mWorkers[slot].mCapacity;
    Refresh(slot);
    ++count;
  }
  return count;
}

void WorkerIndex::AddPending(WorkerSlot aSlot, const Resources& aSize)
{
  mWorkers[aSlot].mPending += aSize;
  Refresh(aSlot);
}

void WorkerIndex::RemovePending(WorkerSlot aSlot, const Resources& aSize)
{
  mWorkers[aSlot].mPending -= aSize;
  Refresh(aSlot);
}

void WorkerIndex::CorrectFree(WorkerSlot aSlot, const Resources& aFree)
{
  WorkerInfo& worker = mWorkers[aSlot];
  worker.mReserved = worker.mCapacity - aFree;
  Refresh(aSlot);
}

void WorkerIndex::SetQuarantined(WorkerSlot aSlot, bool aQuarantined)
{
  mWorkers[aSlot].mQuarantined = aQuarantined;
  Refresh(aSlot);
}

bool WorkerIndex::Placeable(WorkerSlot aSlot) const
{
  const WorkerInfo& worker = mWorkers[aSlot];
  return worker.mState == ServingState::Serving && !worker.mSuspect &&
         !worker.mQuarantined;
}

Resources WorkerIndex::Free(WorkerSlot aSlot) const
{
  if (!Placeable(aSlot)) {
    return FreeTree::kUnavailable;
  }
  const WorkerInfo& worker = mWorkers[aSlot];
  return worker.mCapacity - worker.mReserved - worker.mPending;
}

void WorkerIndex::Refresh(WorkerSlot aSlot)
{
  mFree.Set(aSlot, Free(aSlot));
}

bool WorkerIndex::FitsSomewhereEmpty(const Resources& aNeed) const
{
  return mWorkers.empty() || mCapacities.Find(aNeed, 0).has_value();
}

std::optional<WorkerSlot> WorkerIndex::SlotOf(const AgentId& aAgent) const
{
  const auto found = mSlots.find(aAgent);
  if (found == mSlots.end()) {
    return std::nullopt;
  }
  return found->second;
}

std::size_t WorkerIndex::MemoryBytes() const
{
  return mWorkers.capacity() * sizeof(WorkerInfo) +
         mSlots.capacity() * (sizeof(AgentId) + sizeof(WorkerSlot) + 1) +
         mFree.MemoryBytes() + mCapacities.MemoryBytes() +
         mByHeartbeat.size() * sizeof(std::pair<Instant, WorkerSlot>) * 3 / 2;
}

} // namespace foxtailbarrow
