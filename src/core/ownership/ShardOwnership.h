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

/// Which shards of the job space this entry owns, and what that allows now.
///
/// Decides: membership of the entry, the shards it takes and releases, until
/// when it may extend task leases, and from when it may reassign tasks of
/// silent agents that an earlier owner assigned.
/// Input: ticks, replies of the store, messages of other entries. Output:
/// calls to the store, messages to other entries, shards won and lost.
/// Promise: of two entries never does one reassign a task whose lease the other
/// may still extend. Argument: docs/design/0006-ownership.md.
/// Survives: outages of the store up to the stretch limit while a majority of
/// the entries lives, cut-off entries, lost replies, pauses, restarts.
/// Not thread-safe; drive it from one fiber.
class ShardOwnership
{
public:
  /// @param aSelf this entry's id, incarnation and endpoint.
  /// @param aNow start of the process, or later.
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

  /// May task leases of the shard be extended, and its tasks be acted for, by a
  /// message whose request the agent sent before now? To start or reassign a
  /// task, the store must also accept a write under Generation().
  bool MayExtend(ShardId aShard, Instant aNow) const;

  /// May a task that an EARLIER generation assigned be reassigned although its
  /// agent is silent? (Tasks assigned under this generation need only their own
  /// lease and margin; agents that report are simply adopted.)
  bool MayReassign(ShardId aShard, Instant aNow) const;

  /// Set while this entry holds the shard.
  std::optional<Generation> HeldGeneration(ShardId aShard) const;

  /// Shards that this entry holds, by number.
  const std::map<ShardId, HeldShard>& Held() const { return mKeeper.Held(); }

  /// The entry that holds the shard as far as known here, for routing; nullptr
  /// when none. Valid until the next On().
  const LiveEntry* OwnerOf(ShardId aShard) const;

  const EntryRoster& Roster() const { return mSession.Roster(); }
  std::optional<StoreLease> Tenure() const { return mSession.Tenure(); }

  /// True while only attestations carry the tenure.
  bool ExtendedByVoters(Instant aNow) const
  {
    return mTenureValidity.ExtendedByVoters(aNow);
  }

  /// Ended tenures that are not closed yet, as far as known here.
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
  std::optional<StoreLease> mActingTenure; ///< Tenure acted under.
  std::map<ShardId, Generation>
    mReportedExpired; ///< Reported, by generation held.
  bool mDraining = false;
  std::optional<CallId> mLeaving;
};

} // namespace foxtailbarrow
