#pragma once

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "src/core/ownership/OwnershipEvents.h"
#include "src/core/ownership/OwnershipSettings.h"
#include "src/core/ownership/ShardPlan.h"
#include "src/core/ownership/ShardTable.h"
#include "src/core/ownership/StoreSession.h"
#include "src/core/ownership/TenureCloser.h"

namespace foxtailbarrow {

/// A shard that this entry holds.
struct HeldShard
{
  Generation mGeneration = 0;

  /// Tenures that must close before tasks of agents that do not report are
  /// reassigned.
  std::vector<StoreLease> mPredecessors;

  /// Earliest time of such a reassignment, when task leases granted by a holder
  /// that released the shard have expired.
  Instant mReassignFrom{};
};

/// Takes and releases shards in the store.
///
/// Lists, takes and releases shards according to ShardPlan. Rebalancing
/// releases one shard at a time, draining releases all of them.
/// Guarantees that a shard is held only under the generation in the store, and
/// that it is given up before the write that releases it is sent. One call is
/// in flight at a time; many shards share one transaction.
/// After a lost reply, the next listing shows by the tenure in the record
/// whether the write took effect. Races with other entries are resolved by
/// compare-and-swap on the shard and on the records of both entries.
class ShardKeeper
{
public:
  /// All references must outlive this.
  ShardKeeper(const OwnershipSettings& aSettings,
              const StoreSession& aSession,
              TenureCloser& aCloser,
              CallIdGenerator& aCallIds);

  void OnRegistered(Instant aNow);
  void OnRound(Instant aNow);

  /// Gives up all shards because the tenure is no longer valid.
  void GiveUpAll(OwnershipActions& aOut);

  void Drain() { mDraining = true; }

  /// True when it is certain that no shard record names this tenure as owner.
  bool Empty() const;

  /// Starts the next store call when one is due.
  void Advance(Instant aNow, OwnershipActions& aOut);

  /// Ignores replies to calls of other components.
  void OnReply(const StoreReply& aReply, Instant aNow, OwnershipActions& aOut);

  const std::map<ShardId, HeldShard>& Held() const { return mHeld; }
  const ShardTable& Table() const { return mTable; }

private:
  using Records = std::vector<std::pair<ShardId, ShardRecord>>;

  struct Listing
  {};
  struct Taking
  {
    Records mShards;
  };
  struct Releasing
  {
    Records mShards;
  };
  using Work = std::variant<Listing, Taking, Releasing>;

  void SendCall(Work aWork, StoreCommand aCall, OwnershipActions& aOut);
  bool StartListing(Instant aNow, OwnershipActions& aOut);
  bool StartRelease(Instant aNow, OwnershipActions& aOut);
  bool StartTake(Instant aNow, OwnershipActions& aOut);

  std::vector<ShardId> ToRelease(Instant aNow) const;
  ShardRecord RecordToTake(ShardId aShard, Instant aNow);
  ShardRecord RecordToRelease(ShardId aShard, Instant aNow);
  StoreTransaction TakeTransaction(const Records& aRecords) const;
  StoreTransaction ReleaseTransaction(const Records& aRecords) const;
  std::vector<StoreLease> StillOpen(std::vector<StoreLease> aTenures,
                                    Instant aNow) const;
  std::string NextToken();

  void OnDone(const Listing& aWork,
              const StoreResult& aResult,
              Instant aNow,
              OwnershipActions& aOut);
  void OnDone(const Taking& aWork,
              const StoreResult& aResult,
              Instant aNow,
              OwnershipActions& aOut);
  void OnDone(const Releasing& aWork,
              const StoreResult& aResult,
              Instant aNow,
              OwnershipActions& aOut);

  void Reconcile(Instant aNow, OwnershipActions& aOut);
  bool IsOwn(ShardId aShard) const;
  void Hold(ShardId aShard,
            const ShardRecord& aRecord,
            Revision aRevision,
            Instant aNow,
            OwnershipActions& aOut);
  void GiveUp(ShardId aShard, OwnershipActions& aOut);

  OwnershipSettings mSettings;
  const StoreSession& mSession;
  TenureCloser& mCloser;
  CallIdGenerator& mCallIds;
  ShardPlan mPlan;
  ShardTable mTable;
  std::map<ShardId, HeldShard> mHeld;
  std::set<ShardId> mReleasing; ///< No longer held; outcome not known yet.
  std::optional<Work> mWork;
  CallId mCall = 0;
  bool mDraining = false;
  bool mTableCurrent = false; ///< The table shows the last known store state.
  Instant mListedAt{};
  Instant mLastRelease{};
  std::uint64_t mTokenCount = 0;
};

} // namespace foxtailbarrow
