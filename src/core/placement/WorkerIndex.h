#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/btree_set.h"
#include "absl/container/flat_hash_map.h"

#include "foxtailbarrow/Endpoint.h"
#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Messages.h"
#include "foxtailbarrow/Resources.h"
#include "foxtailbarrow/Time.h"
#include "src/core/placement/FreeTree.h"

namespace foxtailbarrow {

/// Number of a worker within one WorkerIndex. Never reused.
using WorkerSlot = FreeTree::Slot;

/// One worker as its agent's heartbeats describe it.
struct WorkerInfo
{
  AgentId mAgent;
  Endpoint mEndpoint;
  RackId mRack;
  FailureDomainId mFailureDomain;
  Incarnation mIncarnation = 0;
  std::uint64_t mSequence = 0; ///< Of the newest heartbeat.
  ServingState mState = ServingState::Starting;
  Resources mCapacity;
  Resources mReserved;    ///< As the agent's ledger says.
  Resources mPending;     ///< Placed by this process, not yet in the ledger's.
  Instant mHeartbeatAt{}; ///< When the newest heartbeat came.
  bool mQuarantined = false;
  bool mSuspect = false; ///< Its heartbeats stopped.
};

/// What workers there are and what is free on them. A view: it may be late or
/// wrong; the agent's grant alone commits anything. Input: heartbeats, own
/// placements, quarantine. Survives lost, repeated and reordered heartbeats.
class WorkerIndex
{
public:
  /// Takes a heartbeat. nullopt: it is older than one already taken, and must
  /// be neither believed nor answered with a lease.
  std::optional<WorkerSlot> Update(const Heartbeat& aHeartbeat, Instant aNow);

  /// Marks workers silent since before `aNow - aSilence` as suspect: nothing
  /// is placed there. Returns how many became so.
  int MarkSuspects(Instant aNow, Duration aSilence);

  void AddPending(WorkerSlot aSlot, const Resources& aSize);
  void RemovePending(WorkerSlot aSlot, const Resources& aSize);

  /// Believes an agent's own word of what is free there.
  void CorrectFree(WorkerSlot aSlot, const Resources& aFree);

  void SetQuarantined(WorkerSlot aSlot, bool aQuarantined);

  /// A worker that takes new work and has `aNeed` free, searching from slot
  /// `aFrom` on, wrapping around.
  std::optional<WorkerSlot> Find(const Resources& aNeed, WorkerSlot aFrom) const
  {
    return mFree.Find(aNeed, aFrom);
  }

  /// Free, as far as known; all negative where no work may be placed.
  Resources Free(WorkerSlot aSlot) const;
  bool Placeable(WorkerSlot aSlot) const;

  /// False when workers are known and none, however busy or silent, is as
  /// large as that.
  bool FitsSomewhereEmpty(const Resources& aNeed) const;

  const WorkerInfo& At(WorkerSlot aSlot) const { return mWorkers[aSlot]; }
  std::optional<WorkerSlot> SlotOf(const AgentId& aAgent) const;
  std::size_t Size() const { return mWorkers.size(); }
  const Resources& TotalCapacity() const { return mTotal; }
  std::size_t MemoryBytes() const;

private:
  WorkerSlot Add(const Heartbeat& aHeartbeat);
  void Refresh(WorkerSlot aSlot);

  std::vector<WorkerInfo> mWorkers;
  absl::flat_hash_map<AgentId, WorkerSlot> mSlots;
  FreeTree mFree;
  FreeTree mCapacities;
  Resources mTotal; ///< Of workers that are not suspect.
  absl::btree_set<std::pair<Instant, WorkerSlot>>
    mByHeartbeat; ///< Not suspect.
};

} // namespace foxtailbarrow
