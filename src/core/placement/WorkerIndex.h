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

/// Index of a worker in one WorkerIndex. Never reused.
using WorkerSlot = FreeTree::Slot;

/// A worker as described by its agent's heartbeats.
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
  Resources mReserved;    ///< According to the agent's ledger.
  Resources mPending;     ///< Placed by this process, not yet in the ledger.
  Instant mHeartbeatAt{}; ///< Receipt of the newest heartbeat.
  bool mQuarantined = false;
  bool mSuspect = false; ///< Its heartbeats stopped.
};

/// The known workers and their free resources. May be outdated or wrong: only
/// the agent's grant commits resources. Input: heartbeats, own placements,
/// quarantine. Tolerates lost, repeated and reordered heartbeats.
class WorkerIndex
{
public:
  /// Applies a heartbeat. nullopt if it is not newer than the last one applied;
  /// its contents must then be ignored and no lease granted in reply.
  std::optional<WorkerSlot> Update(const Heartbeat& aHeartbeat, Instant aNow);

  /// Marks workers without a heartbeat since `aNow - aSilence` as suspect:
  /// nothing is placed there. Returns how many were marked.
  int MarkSuspects(Instant aNow, Duration aSilence);

  void AddPending(WorkerSlot aSlot, const Resources& aSize);
  void RemovePending(WorkerSlot aSlot, const Resources& aSize);

  /// Sets the free resources as reported by the agent.
  void CorrectFree(WorkerSlot aSlot, const Resources& aFree);

  void SetQuarantined(WorkerSlot aSlot, bool aQuarantined);

  /// A worker that accepts new work and has `aNeed` free, searching from slot
  /// `aFrom` on, wrapping around.
  std::optional<WorkerSlot> Find(const Resources& aNeed, WorkerSlot aFrom) const
  {
    return mFree.Find(aNeed, aFrom);
  }

  /// Free resources as far as known; all negative if no work may be placed.
  Resources Free(WorkerSlot aSlot) const;
  bool Placeable(WorkerSlot aSlot) const;

  /// False if workers are known but none has that capacity, including busy and
  /// suspect ones.
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
  /// Workers that are not suspect, by last heartbeat.
  absl::btree_set<std::pair<Instant, WorkerSlot>> mByHeartbeat;
};

} // namespace foxtailbarrow
