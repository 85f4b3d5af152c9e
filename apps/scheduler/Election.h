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
#include "src/core/cell/CellRecords.h"
#include "src/net/Poke.h"

namespace foxtailbarrow::scheduler {

/// Takes part in the choice of the cell's owner, and keeps the ownership while
/// this process has it.
///
/// Who writes the leased owner key on the unchanged cell record owns the cell,
/// with a generation one higher. The lease only tells when a new owner may be
/// chosen; safety rests on the cell record, on which every write of the owner
/// depends, and on the bounded grants of OwnerTerm.
class Election
{
public:
  /// Makes and loads the owner of a term that was won.
  using MakeOwner =
    std::function<std::shared_ptr<CellOwner>(const cell::OwnerTerm&)>;

  Election(const SchedulerSettings& aSettings,
           cell::CellSettings aCellSettings,
           Store& aStore,
           MakeOwner aMakeOwner);

  /// One step. Returns the pause until the next.
  Duration Round();
  Poke& RoundPoke() { return mPoke; }

  /// Gives the cell up so that another scheduler takes it at once, and takes
  /// part no more.
  void Resign();
  /// Another owner was seen: the term is over.
  void Superseded();

  /// The owner in this process, also while it still loads; null without a term.
  std::shared_ptr<CellOwner> Term() const { return mOwner; }
  /// The owner in this process once it has loaded, or null.
  std::shared_ptr<CellOwner> Owner() const;
  /// Where the owner was seen last; nullopt when there is none.
  std::optional<Endpoint> OwnerAt() const;
  cell::Generation KnownGeneration() const { return mGeneration; }
  Instant OwnerSeenAt() const { return mSeenAt; }

private:
  Duration Follow();
  /// Revisions that a proposal replaces; 0 = the key is not there.
  struct Replaced
  {
    Revision mOwner = 0;
    Revision mCell = 0;
  };

  Duration TryAcquire(Revision aOwnerRevision);
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
  Poke mPoke;
  std::mt19937_64 mRandom{ std::random_device{}() };
  std::shared_ptr<CellOwner> mOwner;
  StoreLease mLease = 0;
  std::int64_t mToken = 0;
  cell::Candidacy mCandidacy;
  std::optional<Endpoint> mOwnerAt;
  cell::Generation mGeneration = 0;
  Instant mSeenAt{};
  bool mResigned = false;
};

} // namespace foxtailbarrow::scheduler
