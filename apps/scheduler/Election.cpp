#include "apps/scheduler/Election.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "absl/status/statusor.h"

#include "foxtailbarrow/Verdict.h"
#include "src/core/message/Codec.h"
#include "src/telemetry/Log.h"

namespace foxtailbarrow::scheduler {

using namespace cell;

namespace {

/// Lease of the owner's key. A crashed owner is replaced when it expires.
constexpr Duration kOwnerTtl = std::chrono::milliseconds(2000);
/// Allows several renewals within the key's lease and the shortest grant.
constexpr Duration kRenewInterval = std::chrono::milliseconds(450);
constexpr Duration kRenewRetry = std::chrono::milliseconds(150);
constexpr Duration kRetry = std::chrono::milliseconds(150);
/// Bounds how long a vacant cell waits for a store that is back.
constexpr Duration kLongestRetry = std::chrono::milliseconds(1000);
/// Keeps tokens exact as JSON numbers.
constexpr std::int64_t kMaxToken = (std::int64_t{ 1 } << 52) - 1;

} // namespace

Election::Election(const SchedulerSettings& aSettings,
                   CellSettings aCellSettings,
                   Store& aStore,
                   MakeOwner aMakeOwner)
  : mSettings(aSettings)
  , mCellSettings(aCellSettings)
  , mStore(aStore)
  , mMakeOwner(std::move(aMakeOwner))
  , mBackoff(kRetry, kLongestRetry)
  , mCandidacy(
      aSettings.mProcessorShare,
      Candidacy::Turn(std::uniform_real_distribution<double>()(mRandom)))
{
}

std::shared_ptr<CellOwner> Election::Owner() const
{
  return mOwner && mOwner->Active() ? mOwner : nullptr;
}

std::optional<Endpoint> Election::OwnerAt() const
{
  return mOwner ? std::optional(mSettings.mAdvertised) : mOwnerAt;
}

Duration Election::Round()
{
  if (mResigned) {
    return kRenewInterval;
  }
  if (mOwner) {
    return RenewTerm();
  }
  return Follow();
}

void Election::OnOwnerSeen(const OwnerRecord& aRecord)
{
  mSeenAt = MonotonicNow();
  if (aRecord.mGeneration > mGeneration) {
    LogChange("owner-seen",
              { { "owner", aRecord.mScheduler },
                { "endpoint", aRecord.mEndpoint },
                { "generation", aRecord.mGeneration } });
  }
  if (aRecord.mGeneration >= mGeneration) {
    mGeneration = aRecord.mGeneration;
    mOwnerAt = aRecord.mEndpoint;
  }
}

Duration Election::Follow()
{
  if (mVacant && !mCandidacy.MayTake(MonotonicNow())) {
    return AwaitOwner();
  }
  const auto entry = mStore.Read(kOwnerKey);
  if (mResigned) {
    return kRetry;
  }
  if (absl::IsNotFound(entry.status())) {
    mBackoff.Reset();
    mVacant = true;
    return mCandidacy.MayTake(MonotonicNow()) ? TryAcquire({}) : Duration(1);
  }
  if (!entry.ok()) {
    return mBackoff.Next(mRandom);
  }
  return WatchOwner(*entry);
}

/// Until this scheduler's turn to take the vacant cell. A stale reply shows the
/// earlier owner or none, so a cheap read is enough to see the next one.
Duration Election::AwaitOwner()
{
  const auto entry = mStore.ReadSerializable(kOwnerKey);
  if (entry.ok()) {
    if (const auto record = FromJsonText<OwnerRecord>(entry->mValue);
        record.ok() && record->mGeneration > mGeneration) {
      return WatchOwner(*entry);
    }
  }
  const Duration pause = Jitter(kRetry / 2, kRetry, mRandom);
  return std::min(pause, mCandidacy.TakesIn(MonotonicNow()) + Duration(1));
}

Duration Election::WatchOwner(const StoreEntry& aEntry)
{
  const auto record = FromJsonText<OwnerRecord>(aEntry.mValue);
  if (!record.ok()) {
    LogUnreadable("owner-record-unreadable", aEntry, record.status());
    if (aEntry.mLease == 0) {
      // No owner has written it, and nothing would ever remove it.
      mVacant = true;
      return mCandidacy.MayTake(MonotonicNow())
               ? TryAcquire({ aEntry.mModRevision, false })
               : Duration(1);
    }
  }
  mVacant = false;
  mCandidacy.OnOwnerSeen();
  if (record.ok()) {
    OnOwnerSeen(*record);
    // This process listens there now, so the process that owned the cell has
    // ended. Its key need not expire first.
    if (record->mScheduler == mSettings.mId &&
        record->mEndpoint == mSettings.mAdvertised) {
      return TryAcquire({ aEntry.mModRevision, true });
    }
  }
  // Not from the entry's own revision: the store may have dropped the history
  // since then, and every watch from there would end at once.
  const absl::Status ended =
    mStore.Watch(kOwnerKey,
                 WatchStart(aEntry),
                 [this](const std::vector<StoreEvent>& aEvents) {
                   mSeenAt = MonotonicNow();
                   mBackoff.Reset();
                   for (const StoreEvent& event : aEvents) {
                     mVacant = !event.mValue;
                   }
                   return aEvents.empty() && !mResigned;
                 });
  return mVacant || ended.ok() ? Duration(1) : mBackoff.Next(mRandom);
}

std::string Election::OwnerText(Generation aGeneration,
                                std::int64_t aToken) const
{
  return ToJsonText(
    OwnerRecord{ mSettings.mId, mSettings.mAdvertised, aGeneration, aToken });
}

void Election::LogUnreadable(std::string_view aEvent,
                             const StoreEntry& aEntry,
                             const absl::Status& aError)
{
  // Each entry is read many times.
  if (std::exchange(mUnreadableRevision, aEntry.mModRevision) !=
      aEntry.mModRevision) {
    LogError(
      aEvent,
      { { "revision", aEntry.mModRevision }, { "error", aError.ToString() } });
  }
}

/// The newest generation. A term takes one revision of the store at least, so
/// that none is higher than the revision of a record that cannot be read.
CellRecord Election::ReadCellRecord(const StoreEntry& aEntry)
{
  const auto record = FromJsonText<CellRecord>(aEntry.mValue);
  if (record.ok()) {
    return *record;
  }
  LogUnreadable("cell-record-unreadable", aEntry, record.status());
  CellRecord replacement;
  replacement.mGeneration = std::min(aEntry.mModRevision, kMaxGeneration / 2);
  return replacement;
}

Duration Election::TryAcquire(const ReplacedOwner& aOwner)
{
  const auto cell = mStore.Read(kCellKey);
  if (!cell.ok() && !absl::IsNotFound(cell.status())) {
    return mBackoff.Next(mRandom);
  }
  CellRecord record;
  Revision revision = 0;
  if (cell.ok()) {
    record = ReadCellRecord(*cell);
    revision = cell->mModRevision;
  }
  record.mGeneration = std::max(record.mGeneration, mGeneration) + 1;
  record.mScheduler = mSettings.mId;
  record.mToken =
    std::uniform_int_distribution<std::int64_t>(1, kMaxToken)(mRandom);
  const Instant leaseSentAt = MonotonicNow();
  const auto lease = mStore.GrantLease(kOwnerTtl);
  if (!lease.ok() || mResigned) {
    return mBackoff.Next(mRandom);
  }
  const Instant sentAt = MonotonicNow();
  const auto won = Propose(record, { aOwner.mRevision, revision }, *lease);
  if (!won.ok()) {
    LogWarning("election-unsettled", { { "error", won.status().ToString() } });
    return mBackoff.Next(mRandom);
  }
  if (!*won) {
    mVacant = false;
    return Duration(1); // Another scheduler was faster.
  }
  const Predecessor before{ aOwner.mEnded, revision };
  OwnerTerm term(record.mGeneration, **won, sentAt, mCellSettings, before);
  term.ExtendKey(leaseSentAt, kOwnerTtl);
  Begin(record, term, *lease);
  return kRenewInterval;
}

/// Returns the new revision of the cell record, or nullopt if another scheduler
/// won.
absl::StatusOr<std::optional<Revision>> Election::Propose(
  const CellRecord& aRecord,
  const Replaced& aReplaced,
  StoreLease aLease)
{
  StoreTransaction transaction;
  transaction.mCompares = { { std::string(kOwnerKey), aReplaced.mOwner },
                            { std::string(kCellKey), aReplaced.mCell } };
  transaction.mWrites = { { std::string(kOwnerKey),
                            OwnerText(aRecord.mGeneration, aRecord.mToken),
                            aLease },
                          { std::string(kCellKey), ToJsonText(aRecord) } };
  const auto result = mStore.Commit(transaction);
  if (result.ok()) {
    return result->mApplied ? std::optional(result->mRevision) : std::nullopt;
  }
  if (VerdictOf(result.status()) == Verdict::NotRun) {
    return result.status();
  }
  return ReadOutcome(aRecord);
}

/// After a lost reply: the token in the cell record shows who won.
absl::StatusOr<std::optional<Revision>> Election::ReadOutcome(
  const CellRecord& aRecord)
{
  const auto cell = mStore.Read(kCellKey);
  if (!cell.ok()) {
    return cell.status();
  }
  const auto found = FromJsonText<CellRecord>(cell->mValue);
  if (!found.ok()) {
    return found.status();
  }
  return found->mToken == aRecord.mToken ? std::optional(cell->mModRevision)
                                         : std::nullopt;
}

void Election::Begin(const CellRecord& aRecord,
                     const OwnerTerm& aTerm,
                     StoreLease aLease)
{
  mLease = aLease;
  mToken = aRecord.mToken;
  mGeneration = aRecord.mGeneration;
  mSeenAt = MonotonicNow();
  mVacant = false;
  mCandidacy.OnOwnerSeen();
  LogChange(
    "election-won",
    { { "generation", mGeneration }, { "revision", aTerm.CellRevision() } });
  mOwner = mMakeOwner(aTerm);
  if (const absl::Status status = mOwner->Load(); !status.ok()) {
    LogWarning("cell-load-failed", { { "error", status.ToString() } });
    Superseded();
    if (const absl::Status ended = mStore.RevokeLease(aLease); !ended.ok()) {
      LogWarning("lease-kept", { { "error", ended.ToString() } });
    }
  }
}

Duration Election::RenewTerm()
{
  const std::shared_ptr<CellOwner> owner = mOwner;
  RenewLease();
  const Instant sentAt = MonotonicNow();
  const auto cell = mStore.Read(kCellKey);
  if (owner != mOwner) {
    return Duration(1);
  }
  if (!cell.ok()) {
    return kRenewRetry;
  }
  if (cell->mModRevision != owner->Term().CellRevision()) {
    LogWarning("cell-superseded", { { "generation", mGeneration } });
    Superseded();
    return Duration(1);
  }
  owner->Confirm(sentAt);
  mSeenAt = MonotonicNow();
  return kRenewInterval;
}

void Election::RenewLease()
{
  const std::shared_ptr<CellOwner> owner = mOwner;
  const Instant sentAt = MonotonicNow();
  const auto ttl = mStore.KeepAlive(mLease);
  if (ttl.ok()) {
    owner->ExtendKey(sentAt, kOwnerTtl);
  }
  if (!ttl.ok() && absl::IsNotFound(ttl.status()) && mOwner) {
    RestoreOwnerKey();
  }
}

/// The lease expired, for example in an outage of the store. The term continues
/// under a new lease unless another scheduler has taken the cell.
void Election::RestoreOwnerKey()
{
  const std::shared_ptr<CellOwner> owner = mOwner;
  const Instant sentAt = MonotonicNow();
  const auto lease = mStore.GrantLease(kOwnerTtl);
  if (!lease.ok() || owner != mOwner) {
    return;
  }
  StoreTransaction transaction;
  transaction.mCompares = { { std::string(kOwnerKey), 0 },
                            { std::string(kCellKey),
                              owner->Term().CellRevision() } };
  transaction.mWrites = {
    { std::string(kOwnerKey), OwnerText(mGeneration, mToken), *lease }
  };
  const auto result = mStore.Commit(transaction);
  if (result.ok() && result->mApplied) {
    mLease = *lease;
    owner->ExtendKey(sentAt, kOwnerTtl);
    LogChange("owner-key-restored", { { "generation", mGeneration } });
  }
}

void Election::Superseded()
{
  if (const auto owner = std::exchange(mOwner, nullptr)) {
    owner->End();
  }
  mOwnerAt.reset();
  mWaker.Wake();
}

void Election::Resign()
{
  mResigned = true;
  if (!mOwner) {
    return;
  }
  Superseded();
  if (const absl::Status status = mStore.RevokeLease(mLease); !status.ok()) {
    LogWarning("lease-kept", { { "error", status.ToString() } });
  }
}

} // namespace foxtailbarrow::scheduler
