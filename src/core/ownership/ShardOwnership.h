#pragma once

#include <map>
#include <optional>

#include "src/core/ownership/EntryRoster.h"
#include "src/core/ownership/OwnershipEvents.h"
#include "src/core/ownership/OwnershipSettings.h"
#include "src/core/ownership/ShardKeeper.h"
#include "src/core/ownership/StoreSession.h"
#include "src/core/ownership/TenureCloser.h"
#include "src/core/ownership/TenureMaintenance.h"
#include "src/core/ownership/TenureValidity.h"
#include "src/core/ownership/TenureVoter.h"

namespace foxtailbarrow {

/// Manages the shards that this entry owns and what it may do with them.
///
/// Decides the entry's membership, the shards it takes and releases, until when
/// it may extend task leases, and from when it may reassign tasks that an
/// earlier owner assigned to agents that no longer report.
/// Input: ticks, store replies, messages of other entries. Output: store calls,
/// messages to other entries, shards gained and lost.
/// Guarantees that no entry reassigns a task whose lease another entry may
/// still extend; docs/design/0006-ownership.md gives the proof.
/// Tolerates store outages up to the maximum extension while a majority of the
/// entries is live, partitioned entries, lost replies, pauses and restarts.
/// Not thread-safe; use it from one fiber.
class ShardOwnership
{
public:
  /// @param aSelf this entry's id, incarnation and endpoint.
  /// @param aNow start of the process or later.
  ShardOwnership(const OwnershipSettings& aSettings,
                 const EntryRecord& aSelf,
                 Instant aNow);

  ShardOwnership(const ShardOwnership&) = delete;
  ShardOwnership& operator=(const ShardOwnership&) = delete;

  /// Handles one event. `aNow` is read after the event has arrived.
  OwnershipActions On(const OwnershipEvent& aEvent, Instant aNow);

  /// Answers `entry.attest`.
  AttestReply OnAttest(const AttestRequest& aRequest, Instant aNow) const;

  /// Answers `entry.promise`.
  PromiseReply OnPromise(const PromiseRequest& aRequest);

  /// True when a message whose request the agent sent before now may extend
  /// task leases of the shard and control its tasks. To start or reassign a
  /// task, the store must also accept a write under HeldGeneration().
  bool MayExtend(ShardId aShard, Instant aNow) const;

  /// True when a task that an earlier generation assigned may be reassigned
  /// although its agent does not report. Tasks assigned under this generation
  /// only need their own lease and margin to pass; tasks that agents report are
  /// adopted.
  bool MayReassign(ShardId aShard, Instant aNow) const;

  /// Set while this entry holds the shard.
  std::optional<Generation> HeldGeneration(ShardId aShard) const;

  /// Shards that this entry holds, by number.
  const std::map<ShardId, HeldShard>& Held() const { return mKeeper.Held(); }

  /// The last known live holder of the shard, for routing; nullptr when there
  /// is none. Valid until the next On().
  const LiveEntry* OwnerOf(ShardId aShard) const;

  const EntryRoster& Roster() const { return mSession.Roster(); }
  std::optional<StoreLease> Tenure() const { return mSession.Tenure(); }

  /// True while the tenure is valid only by attestations.
  bool ExtendedByVoters(Instant aNow) const
  {
    return mTenureValidity.ExtendedByVoters(aNow);
  }

  /// Number of known ended tenures that are not closed yet.
  std::size_t OpenTenures() const { return mCloser.OpenCount(); }

private:
  void Handle(const OwnershipTick& aEvent,
              Instant aNow,
              OwnershipActions& aOut);
  void Handle(const OwnershipDrain& aEvent,
              Instant aNow,
              OwnershipActions& aOut);
  void Handle(const StoreReply& aEvent, Instant aNow, OwnershipActions& aOut);
  void Handle(const AttestReply& aEvent, Instant aNow, OwnershipActions& aOut);
  void Handle(const PromiseReply& aEvent, Instant aNow, OwnershipActions& aOut);
  void OnChange(StoreSession::Change aChange,
                Instant aNow,
                OwnershipActions& aOut);
  void ReportExpiredLeases(Instant aNow, OwnershipActions& aOut);
  void EndTenure(Instant aNow, OwnershipActions& aOut);
  void Leave(OwnershipActions& aOut);

  OwnershipSettings mSettings;
  CallIdGenerator mCallIds;
  StoreSession mSession;
  TenureVoter mVoter;
  TenureValidity mTenureValidity;
  TenureCloser mCloser;
  ShardKeeper mKeeper;
  TenureMaintenance mMaintenance;
  std::optional<StoreLease> mActingTenure; ///< Shards are held under it.
  /// Generations for which EarlierLeasesExpired was sent.
  std::map<ShardId, Generation> mReportedExpired;
  bool mDraining = false;
  std::optional<CallId> mLeaving;
};

} // namespace foxtailbarrow
