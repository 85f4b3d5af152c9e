#include "src/core/ownership/ShardKeeper.h"

#include <algorithm>

#include "src/core/ownership/StoreKeys.h"

namespace foxtailbarrow {

ShardKeeper::ShardKeeper(const OwnershipSettings& aSettings,
                         const StoreSession& aSession,
                         TenureCloser& aCloser,
                         CallIdGenerator& aCallIds)
  : mSettings(aSettings)
  , mSession(aSession)
  , mCloser(aCloser)
  , mCallIds(aCallIds)
  , mPlan(aSettings)
  , mTable(aSettings.mShards)
{
}

void ShardKeeper::OnRegistered(Instant aNow)
{
  mPlan.OnRegistered(aNow);
  mReleasing.clear();
  mTableCurrent = false;
}

void ShardKeeper::OnRound(Instant aNow)
{
  mPlan.OnRoster(mSession.Roster(), aNow);
  mTable.OnRoster(mSession.Roster(), aNow);
}

void ShardKeeper::GiveUpAll(OwnershipActions& aOut)
{
  while (!mHeld.empty()) {
    GiveUp(mHeld.begin()->first, aOut);
  }
  mTableCurrent = false;
}

bool ShardKeeper::Empty() const
{
  return mTableCurrent && mHeld.empty() && mReleasing.empty() && !mWork;
}

void ShardKeeper::Advance(Instant aNow, OwnershipActions& aOut)
{
  if (mWork || !mSession.Tenure() || !mSession.Roster().Confirmed(aNow)) {
    return;
  }
  StartListing(aNow, aOut) || StartRelease(aNow, aOut) || StartTake(aNow, aOut);
}

void ShardKeeper::OnReply(const StoreReply& aReply,
                          Instant aNow,
                          OwnershipActions& aOut)
{
  if (!mWork || aReply.mId != mCall) {
    return;
  }
  const Work work = std::move(*mWork);
  mWork.reset();
  std::visit(
    [&](const auto& aWork) { OnDone(aWork, aReply.mResult, aNow, aOut); },
    work);
}

void ShardKeeper::SendCall(Work aWork,
                           StoreCommand aCall,
                           OwnershipActions& aOut)
{
  mWork = std::move(aWork);
  mCall = mCallIds.Next();
  aOut.push_back(StoreRequest{ mCall, std::move(aCall) });
}

bool ShardKeeper::StartListing(Instant aNow, OwnershipActions& aOut)
{
  const bool expectsChange =
    !mTableCurrent || mPlan.AwaitsShard(mTable, mSession.Roster());
  const Duration interval =
    expectsChange ? mSettings.mRoundInterval : mSettings.mIdleListInterval;
  if (aNow < mListedAt + interval) {
    return false;
  }
  mListedAt = aNow;
  SendCall(Listing{}, ListCall{ std::string(kShardsPrefix) }, aOut);
  return true;
}

bool ShardKeeper::StartRelease(Instant aNow, OwnershipActions& aOut)
{
  if (!mTableCurrent) {
    return false;
  }
  Releasing work;
  for (const ShardId shard : ToRelease(aNow)) {
    work.mShards.emplace_back(shard, RecordToRelease(shard, aNow));
  }
  if (work.mShards.empty()) {
    return false;
  }
  mLastRelease = aNow;
  for (const auto& [shard, record] : work.mShards) {
    mReleasing.insert(shard);
    GiveUp(shard, aOut);
  }
  StoreTransaction transaction = ReleaseTransaction(work.mShards);
  SendCall(std::move(work), CommitCall{ std::move(transaction) }, aOut);
  return true;
}

bool ShardKeeper::StartTake(Instant aNow, OwnershipActions& aOut)
{
  if (!mTableCurrent || mDraining) {
    return false;
  }
  std::vector<ShardId> shards = mPlan.ToTake(mTable, mSession.Roster(), aNow);
  if (shards.empty()) {
    return false;
  }
  shards.resize(std::min(shards.size(), mSettings.mShardsPerCommit));
  Taking work;
  for (const ShardId shard : shards) {
    work.mShards.emplace_back(shard, RecordToTake(shard, aNow));
  }
  StoreTransaction transaction = TakeTransaction(work.mShards);
  SendCall(std::move(work), CommitCall{ std::move(transaction) }, aOut);
  return true;
}

std::vector<ShardId> ShardKeeper::ToRelease(Instant aNow) const
{
  // Releases with an unknown outcome come first. They are repeated under the
  // same condition, so at most one of them takes effect.
  std::vector<ShardId> shards(mReleasing.begin(), mReleasing.end());
  if (mDraining) {
    for (const auto& [shard, held] : mHeld) {
      shards.push_back(shard);
    }
    shards.resize(std::min(shards.size(), mSettings.mShardsPerCommit));
    return shards;
  }
  if (!shards.empty() || aNow < mLastRelease + mSettings.mReleaseInterval) {
    return shards;
  }
  for (const auto& [shard, held] : mHeld) {
    if (mPlan.BelongsToOther(shard, mSession.Roster(), aNow)) {
      return { shard };
    }
  }
  return shards;
}

ShardRecord ShardKeeper::RecordToTake(ShardId aShard, Instant aNow)
{
  ShardRecord record{
    mSession.Self().mEntry, *mSession.Tenure(), NextToken(), {}
  };
  if (const auto& old = mTable.Slot(aShard).mRecord; old) {
    std::vector<StoreLease> tenures = old->mPredecessors;
    if (!old->mOwner.Empty()) {
      tenures.push_back(old->mTenure);
    }
    record.mPredecessors = StillOpen(std::move(tenures), aNow);
  }
  return record;
}

ShardRecord ShardKeeper::RecordToRelease(ShardId aShard, Instant aNow)
{
  const std::vector<StoreLease>& predecessors =
    mTable.Slot(aShard).mRecord->mPredecessors;
  return {
    EntryId(), *mSession.Tenure(), NextToken(), StillOpen(predecessors, aNow)
  };
}

StoreTransaction ShardKeeper::TakeTransaction(const Records& aRecords) const
{
  StoreTransaction transaction;
  std::map<EntryId, Revision> entries;
  entries[mSession.Self().mEntry] = mSession.RecordRevision();
  for (const auto& [shard, record] : aRecords) {
    const ShardSlot& slot = mTable.Slot(shard);
    transaction.mCompares.push_back({ ShardKey(shard), slot.mModRevision });
    transaction.mWrites.push_back({ ShardKey(shard), Encode(record), 0 });
    if (slot.mRecord && !slot.mRecord->mOwner.Empty()) {
      // The old owner's record must be unchanged, so its tenure is still over.
      const EntryId& owner = slot.mRecord->mOwner;
      const LiveEntry* const live = mSession.Roster().Find(owner);
      entries.try_emplace(owner, live == nullptr ? 0 : live->mModRevision);
    }
  }
  for (const auto& [entry, revision] : entries) {
    transaction.mCompares.push_back({ EntryKey(entry), revision });
  }
  return transaction;
}

StoreTransaction ShardKeeper::ReleaseTransaction(const Records& aRecords) const
{
  StoreTransaction transaction;
  for (const auto& [shard, record] : aRecords) {
    transaction.mCompares.push_back(
      { ShardKey(shard), mTable.Slot(shard).mModRevision });
    transaction.mWrites.push_back({ ShardKey(shard), Encode(record), 0 });
  }
  return transaction;
}

std::vector<StoreLease> ShardKeeper::StillOpen(std::vector<StoreLease> aTenures,
                                               Instant aNow) const
{
  std::ranges::sort(aTenures);
  aTenures.erase(std::unique(aTenures.begin(), aTenures.end()), aTenures.end());
  std::erase_if(aTenures, [this, aNow](StoreLease aTenure) {
    return mCloser.Closed(aTenure, aNow);
  });
  return aTenures;
}

std::string ShardKeeper::NextToken()
{
  const EntryRecord& self = mSession.Self();
  return self.mEntry.Value() + "/" + std::to_string(self.mIncarnation) + "/" +
         std::to_string(++mTokenCount);
}

void ShardKeeper::OnDone(const Listing&,
                         const StoreResult& aResult,
                         Instant aNow,
                         OwnershipActions& aOut)
{
  const auto* const listing = std::get_if<StoreListing>(&aResult);
  if (listing == nullptr || !mSession.Tenure()) {
    return;
  }
  mTable.OnListing(*listing);
  mTable.OnRoster(mSession.Roster(), aNow);
  mTableCurrent = true;
  Reconcile(aNow, aOut);
}

void ShardKeeper::OnDone(const Taking& aWork,
                         const StoreResult& aResult,
                         Instant aNow,
                         OwnershipActions& aOut)
{
  const auto* const result = std::get_if<StoreTransactionResult>(&aResult);
  if (result == nullptr || !result->mApplied) {
    mTableCurrent = false;
    return;
  }
  for (const auto& [shard, record] : aWork.mShards) {
    mTable.OnWritten(shard, record, result->mRevision);
    if (mSession.Tenure() == record.mTenure) {
      Hold(shard, record, result->mRevision, aNow, aOut);
    }
  }
  mTable.OnRoster(mSession.Roster(), aNow);
}

void ShardKeeper::OnDone(const Releasing& aWork,
                         const StoreResult& aResult,
                         Instant aNow,
                         OwnershipActions&)
{
  const auto* const result = std::get_if<StoreTransactionResult>(&aResult);
  if (result == nullptr || !result->mApplied) {
    mTableCurrent = false;
    return;
  }
  for (const auto& [shard, record] : aWork.mShards) {
    mTable.OnWritten(shard, record, result->mRevision);
    mReleasing.erase(shard);
  }
  mTable.OnRoster(mSession.Roster(), aNow);
}

void ShardKeeper::Reconcile(Instant aNow, OwnershipActions& aOut)
{
  for (ShardId shard = 0; shard < mTable.Size(); ++shard) {
    const ShardSlot& slot = mTable.Slot(shard);
    if (!IsOwn(shard)) {
      mReleasing.erase(shard);
      GiveUp(shard, aOut);
      continue;
    }
    const auto held = mHeld.find(shard);
    const bool known =
      held != mHeld.end() && held->second.mGeneration == slot.mModRevision;
    if (!known && !mReleasing.contains(shard)) {
      GiveUp(shard, aOut);
      Hold(shard, *slot.mRecord, slot.mModRevision, aNow, aOut);
    }
  }
}

bool ShardKeeper::IsOwn(ShardId aShard) const
{
  const auto& record = mTable.Slot(aShard).mRecord;
  return record && record->mOwner == mSession.Self().mEntry &&
         record->mTenure == mSession.Tenure();
}

void ShardKeeper::Hold(ShardId aShard,
                       const ShardRecord& aRecord,
                       Revision aRevision,
                       Instant aNow,
                       OwnershipActions& aOut)
{
  for (const StoreLease tenure : aRecord.mPredecessors) {
    mCloser.OnTenureEnded(tenure, aNow);
  }
  mHeld[aShard] = { aRevision,
                    aRecord.mPredecessors,
                    aNow + mSettings.TenureWait() };
  aOut.push_back(ShardGained{ aShard, aRevision });
}

void ShardKeeper::GiveUp(ShardId aShard, OwnershipActions& aOut)
{
  if (mHeld.erase(aShard) != 0) {
    aOut.push_back(ShardGivenUp{ aShard });
  }
}

} // namespace foxtailbarrow
