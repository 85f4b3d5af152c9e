#include "src/core/ownership/TenureMaintenance.h"

#include <algorithm>
#include <utility>

#include "src/core/ownership/StoreKeys.h"

namespace foxtailbarrow {

namespace {

constexpr std::size_t kDeletesPerCommit = 100;

} // namespace

TenureMaintenance::TenureMaintenance(const OwnershipSettings& aSettings,
                                     const StoreSession& aSession,
                                     TenureValidity& aTenureValidity,
                                     TenureCloser& aCloser,
                                     CallIdGenerator& aCallIds)
  : mSettings(aSettings)
  , mSession(aSession)
  , mTenureValidity(aTenureValidity)
  , mCloser(aCloser)
  , mCallIds(aCallIds)
{
}

void TenureMaintenance::OnRegistered(Instant aNow)
{
  mVoters = mSession.FirstVoters();
  mRevision = mSession.RecordRevision();
  mNextSweep = aNow + mSettings.mSweepInterval;
}

void TenureMaintenance::OnRound(Instant aNow)
{
  if (Voters roster = mSession.Roster().AsVoters(); roster != mLastRoster) {
    mLastRoster = std::move(roster);
    mRosterSince = aNow;
  }
}

void TenureMaintenance::Advance(Instant aNow, OwnershipActions& aOut)
{
  if (mWork || !mSession.Tenure() || !mSession.Roster().Confirmed(aNow)) {
    return;
  }
  StartReadingEnded(aNow, aOut) || StartVoterUpdate(aNow, aOut) ||
    StartDelete(aNow, aOut);
}

void TenureMaintenance::OnReply(const StoreReply& aReply, Instant aNow)
{
  if (!mWork || aReply.mId != mCall) {
    return;
  }
  const Work work = std::move(*mWork);
  mWork.reset();
  std::visit([&](const auto& aWork) { OnDone(aWork, aReply.mResult, aNow); },
             work);
}

void TenureMaintenance::SendCall(Work aWork,
                                 StoreCommand aCall,
                                 OwnershipActions& aOut)
{
  mWork = std::move(aWork);
  mCall = mCallIds.Next();
  aOut.push_back(StoreRequest{ mCall, std::move(aCall) });
}

bool TenureMaintenance::StartReadingEnded(Instant aNow, OwnershipActions& aOut)
{
  const std::vector<StoreLease> ended = mCloser.WithoutRecords();
  const bool isSweeper = mSession.Roster().Rank() == std::size_t{ 0 };
  const bool sweepDue = isSweeper && aNow >= mNextSweep;
  if (aNow < mNextRead || (ended.empty() && !sweepDue)) {
    return false;
  }
  mNextRead = aNow + mSettings.mRoundInterval;
  SendCall(
    ReadingEnded{ ended }, ListCall{ std::string(kTenuresPrefix) }, aOut);
  return true;
}

bool TenureMaintenance::StartVoterUpdate(Instant aNow, OwnershipActions& aOut)
{
  const StoreLease tenure = *mSession.Tenure();
  if (!mRevision) {
    if (aNow < mNextRead) {
      return false;
    }
    mNextRead = aNow + mSettings.mRoundInterval;
    SendCall(ReadingOwn{ tenure }, ListCall{ TenureKey(tenure) }, aOut);
    return true;
  }
  const bool stable = aNow >= mRosterSince + mSettings.mVoterUpdateDelay;
  if (!stable || mLastRoster == mVoters) {
    return false;
  }
  const EntryRecord& self = mSession.Self();
  const TenureRecord record{ self.mEntry, self.mIncarnation, mLastRoster };
  StoreTransaction transaction;
  transaction.mCompares = { { EntryKey(self.mEntry),
                              mSession.RecordRevision() },
                            { TenureKey(tenure), *mRevision } };
  transaction.mWrites = { { TenureKey(tenure), Encode(record), 0 } };
  mTenureValidity.AddPossibleVoters(mLastRoster);
  SendCall(WritingVoters{ tenure, mLastRoster },
           CommitCall{ std::move(transaction) },
           aOut);
  return true;
}

bool TenureMaintenance::StartDelete(Instant aNow, OwnershipActions& aOut)
{
  std::vector<StoreLease> tenures = mCloser.Deletable(aNow);
  if (tenures.empty()) {
    return false;
  }
  tenures.resize(std::min(tenures.size(), kDeletesPerCommit));
  StoreTransaction transaction;
  for (const StoreLease tenure : tenures) {
    transaction.mWrites.push_back({ TenureKey(tenure), std::nullopt, 0 });
  }
  SendCall(
    Deleting{ std::move(tenures) }, CommitCall{ std::move(transaction) }, aOut);
  return true;
}

void TenureMaintenance::OnDone(const ReadingEnded& aWork,
                               const StoreResult& aResult,
                               Instant aNow)
{
  const auto* const listing = std::get_if<StoreListing>(&aResult);
  if (listing == nullptr) {
    return;
  }
  absl::flat_hash_map<StoreLease, TenureRecord> records;
  for (const StoreEntry& entry : listing->mEntries) {
    const auto tenure = ParseTenureKey(entry.mKey);
    auto record = DecodeTenureRecord(entry.mValue);
    if (tenure && record) {
      records[*tenure] = std::move(*record);
    }
  }
  Sweep(records, aNow);
  for (const StoreLease tenure : aWork.mTenures) {
    if (const auto found = records.find(tenure); found != records.end()) {
      mCloser.OnRecord(tenure, found->second, aNow);
    } else {
      mCloser.OnRecordDeleted(tenure);
    }
  }
}

void TenureMaintenance::Sweep(
  const absl::flat_hash_map<StoreLease, TenureRecord>& aRecords,
  Instant aNow)
{
  if (aNow < mNextSweep || !mSession.Roster().Confirmed(aNow)) {
    return;
  }
  mNextSweep = aNow + mSettings.mSweepInterval;
  absl::flat_hash_set<StoreLease> suspects;
  for (const auto& [tenure, record] : aRecords) {
    if (IsLive(tenure)) {
      continue;
    }
    suspects.insert(tenure);
    // A tenure that was listed in the previous sweep and is not in the newer
    // roster ended before this listing. One listed for the first time may just
    // be newer than the roster.
    if (mSuspects.contains(tenure)) {
      mCloser.OnTenureEnded(tenure, aNow);
      mCloser.OnRecord(tenure, record, aNow);
    }
  }
  mSuspects = std::move(suspects);
}

void TenureMaintenance::OnDone(const ReadingOwn& aWork,
                               const StoreResult& aResult,
                               Instant)
{
  const auto* const listing = std::get_if<StoreListing>(&aResult);
  if (listing == nullptr || mSession.Tenure() != aWork.mTenure) {
    return;
  }
  for (const StoreEntry& entry : listing->mEntries) {
    const auto record = DecodeTenureRecord(entry.mValue);
    if (entry.mKey == TenureKey(aWork.mTenure) && record) {
      mRevision = entry.mModRevision;
      // Differs from the roster, so that a write follows: only its success
      // proves that no older write is still in flight.
      mVoters.clear();
    }
  }
}

void TenureMaintenance::OnDone(const WritingVoters& aWork,
                               const StoreResult& aResult,
                               Instant)
{
  if (mSession.Tenure() != aWork.mTenure) {
    return;
  }
  const auto* const result = std::get_if<StoreTransactionResult>(&aResult);
  if (result == nullptr || !result->mApplied) {
    mRevision.reset();
    return;
  }
  mRevision = result->mRevision;
  mVoters = aWork.mVoters;
  mTenureValidity.SetVoters(aWork.mVoters);
}

void TenureMaintenance::OnDone(const Deleting& aWork,
                               const StoreResult& aResult,
                               Instant)
{
  if (std::holds_alternative<StoreTransactionResult>(aResult)) {
    mCloser.OnDeleted(aWork.mTenures);
  }
}

bool TenureMaintenance::IsLive(StoreLease aTenure) const
{
  return std::ranges::any_of(mSession.Roster().Live(),
                             [aTenure](const LiveEntry& aEntry) {
                               return aEntry.mRecord.mTenure == aTenure;
                             });
}

} // namespace foxtailbarrow
