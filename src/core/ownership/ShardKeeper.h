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

  /// Tenures that must close before a silent agent's task is reassigned.
  std::vector<StoreLease> mPredecessors;

  /// And not before this: leases of a holder that released it.
  Instant mReassignFrom{};
};

/// Takes and releases shards in the store.
///
/// Decides: when to list, take and release, by ShardPlan; one shard at a time
/// is handed over for balance, all when draining.
/// Promise: a shard is acted for only under the generation that the store
/// shows; a shard being released is not acted for from before the write is
/// sent. One call is under way at a time; many shards share one transaction.
/// Survives: lost replies (the listing is read and judged by the record's own
/// tenure), races with other entries (compare-and-swap on the shard and on the
/// entry records of both sides).
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

  /// The tenure holds no longer: all shards are lost.
  void LoseAll(OwnershipActions& aOut);

  void Drain() { mDraining = true; }

  /// True when no record names this tenure as owner, as far as known for sure.
  bool Empty() const;

  /// Starts the next piece of work when one is due.
  void Advance(Instant aNow, OwnershipActions& aOut);

  /// Ignores replies to calls of others.
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
  void Lose(ShardId aShard, OwnershipActions& aOut);

  OwnershipSettings mSettings;
  const StoreSession& mSession;
  TenureCloser& mCloser;
  CallIdGenerator& mCallIds;
  ShardPlan mPlan;
  ShardTable mTable;
  std::map<ShardId, HeldShard> mHeld;
  std::set<ShardId> mReleasing; ///< Not acted for; outcome not known yet.
  std::optional<Work> mWork;
  CallId mCall = 0;
  bool mDraining = false;
  bool mTableCurrent = false; ///< The table is as listed or written by us.
  Instant mListedAt{};
  Instant mLastRelease{};
  std::uint64_t mTokens = 0;
};

} // namespace foxtailbarrow
