#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>

#include "apps/scheduler/CellOwner.h"
#include "apps/scheduler/SchedulerSettings.h"
#include "foxtailbarrow/Store.h"
#include "src/core/cell/Candidacy.h"
#include "src/core/cell/records/CellRecords.h"
#include "src/core/retry/Backoff.h"
#include "src/net/Waker.h"

namespace foxtailbarrow::scheduler {

/// Takes part in the election of the cell's owner and renews the ownership
/// while this process has it.
///
/// A candidate wins by writing the leased owner key and the cell record, with
/// the next generation, on condition that both are unchanged. The lease only
/// determines when a new owner may be elected. Safety depends on the cell
/// record, which is a condition of every write of the owner, and on the bounded
/// grants of OwnerTerm.
class Election
{
public:
  /// Creates the owner for a term that was won.
  using MakeOwner =
    std::function<std::shared_ptr<CellOwner>(const cell::OwnerTerm&)>;

  Election(const SchedulerSettings& aSettings,
           cell::CellSettings aCellSettings,
           Store& aStore,
           MakeOwner aMakeOwner);

  /// One step of the election. Returns the pause before the next.
  Duration Round();
  Waker& RoundWaker() { return mWaker; }

  /// Gives up the cell, so that another scheduler can take it at once, and
  /// leaves the election.
  void Resign();
  /// Ends the term because another scheduler owns the cell.
  void Superseded();

  /// The owner in this process, even while it is loading; null without a term.
  std::shared_ptr<CellOwner> Term() const { return mOwner; }
  /// The owner in this process if it has loaded, or null.
  std::shared_ptr<CellOwner> Owner() const;
  /// Last known address of the owner; nullopt if there is none.
  std::optional<Endpoint> OwnerAt() const;
  cell::Generation KnownGeneration() const { return mGeneration; }
  Instant OwnerSeenAt() const { return mSeenAt; }

private:
  Duration Follow();
  Duration AwaitOwner();
  Duration WatchOwner(const StoreEntry& aEntry);
  /// Revisions that a proposal replaces; 0 if the key does not exist.
  struct Replaced
  {
    Revision mOwner = 0;
    Revision mCell = 0;
  };

  /// An entry of the owner's key that a proposal replaces.
  struct ReplacedOwner
  {
    Revision mRevision = 0;
    bool mEnded = false; ///< It was this process before its restart.
  };

  Duration TryAcquire(const ReplacedOwner& aOwner);
  cell::CellRecord ReadCellRecord(const StoreEntry& aEntry);
  void LogUnreadable(std::string_view aEvent,
                     const StoreEntry& aEntry,
                     const absl::Status& aError);
  Duration RenewTerm();
  absl::StatusOr<std::optional<Revision>> Propose(
    const cell::CellRecord& aRecord,
    const Replaced& aReplaced,
    StoreLease aLease);
  absl::StatusOr<std::optional<Revision>> ReadOutcome(
    const cell::CellRecord& aRecord);
  void Begin(const cell::CellRecord& aRecord,
             const cell::OwnerTerm& aTerm,
             StoreLease aLease);
  void RenewLease();
  void RestoreOwnerKey();
  std::string OwnerText(cell::Generation aGeneration,
                        std::int64_t aToken) const;
  void OnOwnerSeen(const cell::OwnerRecord& aRecord);

  const SchedulerSettings& mSettings;
  cell::CellSettings mCellSettings;
  Store& mStore;
  MakeOwner mMakeOwner;
  Waker mWaker;
  std::mt19937_64 mRandom{ std::random_device{}() };
  Backoff mBackoff;
  std::shared_ptr<CellOwner> mOwner;
  StoreLease mLease = 0;
  std::int64_t mToken = 0;
  cell::Candidacy mCandidacy;
  std::optional<Endpoint> mOwnerAt;
  cell::Generation mGeneration = 0;
  Instant mSeenAt{};
  bool mVacant = false; ///< The owner's key is gone, and no new one was seen.
  Revision mUnreadableRevision = 0; ///< Of the entry last logged as such.
  bool mResigned = false;
};

} // namespace foxtailbarrow::scheduler
