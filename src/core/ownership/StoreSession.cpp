#include "src/core/ownership/StoreSession.h"

#include <algorithm>
#include <array>
#include <utility>

#include "src/core/ownership/StoreKeys.h"
#include "src/core/ownership/VoterList.h"

namespace foxtailbarrow {

namespace {

std::vector<LiveEntry> DecodeLive(const StoreListing& aListing)
{
  std::vector<LiveEntry> live;
  live.reserve(aListing.mEntries.size());
  for (const StoreEntry& entry : aListing.mEntries) {
    if (auto record = DecodeEntryRecord(entry.mValue)) {
      live.push_back({ std::move(*record), entry.mModRevision });
    }
  }
  return live;
}

const LiveEntry* FindIn(const std::vector<LiveEntry>& aLive,
                        const EntryId& aEntry)
{
  const auto found =
    std::ranges::find_if(aLive, [&aEntry](const LiveEntry& aLiveEntry) {
      return aLiveEntry.mRecord.mEntry == aEntry;
    });
  return found == aLive.end() ? nullptr : &*found;
}

} // namespace

StoreSession::StoreSession(const OwnershipSettings& aSettings,
                           EntryRecord aSelf,
                           CallIdGenerator& aCallIds)
  : mSettings(aSettings)
  , mSelf(std::move(aSelf))
  , mCallIds(aCallIds)
  , mRoster(mSelf.mEntry, aSettings.mValidity, aSettings.mJoinWait)
{
}

void StoreSession::Advance(Instant aNow, OwnershipActions& aOut)
{
  if (mStep == Step::Idle && !mStopped && aNow >= mNextRound) {
    StartRound(aNow, aOut);
  }
}

StoreSession::Change StoreSession::OnReply(const StoreReply& aReply,
                                           Instant aNow,
                                           OwnershipActions& aOut)
{
  if (mStep == Step::Idle || aReply.mId != mCall) {
    return Change::None;
  }
  if (std::holds_alternative<LeaseNotFound>(aReply.mResult)) {
    return End();
  }
  if (const auto* const granted = std::get_if<LeaseGranted>(&aReply.mResult)) {
    mSelf.mTenure = granted->mLease;
    SendCall(Step::ListingFirst, ListCall{ std::string(kEntriesPrefix) }, aOut);
    return Change::None;
  }
  if (std::holds_alternative<LeaseKept>(aReply.mResult)) {
    SendCall(Step::Listing, ListCall{ std::string(kEntriesPrefix) }, aOut);
    return Change::None;
  }
  if (const auto* const listing = std::get_if<StoreListing>(&aReply.mResult)) {
    return OnListing(*listing, aNow, aOut);
  }
  if (const auto* const result =
        std::get_if<StoreTransactionResult>(&aReply.mResult)) {
    return OnCommit(*result, aNow, aOut);
  }
  return OnFailure(aOut);
}

void StoreSession::Stop()
{
  mStopped = true;
  mStep = Step::Idle;
  mTenure.reset();
  mRoster.Leave();
}

void StoreSession::SendCall(Step aStep,
                            StoreCommand aCall,
                            OwnershipActions& aOut)
{
  mStep = aStep;
  mCall = mCallIds.Next();
  aOut.push_back(StoreRequest{ mCall, std::move(aCall) });
}

void StoreSession::StartRound(Instant aNow, OwnershipActions& aOut)
{
  mRoundStarted = aNow;
  mNextRound = aNow + mSettings.mRoundInterval;
  if (mTenure) {
    SendCall(Step::Renewing, KeepAliveCall{ *mTenure }, aOut);
  } else {
    SendCall(Step::Granting, GrantLeaseCall{ mSettings.mStoreLease }, aOut);
  }
}

void StoreSession::Register(const StoreListing& aListing,
                            OwnershipActions& aOut)
{
  const std::vector<LiveEntry> live = DecodeLive(aListing);
  Voters listed = { { mSelf.mEntry, mSelf.mEndpoint } };
  for (const LiveEntry& entry : live) {
    listed.push_back({ entry.mRecord.mEntry, entry.mRecord.mEndpoint });
  }
  // Members of the last roster remain voters, so the first entry to return
  // after an outage is not the only voter of its own tenure.
  const std::array<Voters, 2> lists = { std::move(listed), mRoster.AsVoters() };
  mVoters = Union(lists);

  const LiveEntry* const old = FindIn(live, mSelf.mEntry);
  const TenureRecord tenure{ mSelf.mEntry, mSelf.mIncarnation, mVoters };
  StoreTransaction transaction;
  transaction.mCompares = {
    { EntryKey(mSelf.mEntry), old == nullptr ? 0 : old->mModRevision },
    { TenureKey(mSelf.mTenure), 0 },
  };
  transaction.mWrites = {
    { EntryKey(mSelf.mEntry), Encode(mSelf), mSelf.mTenure },
    { TenureKey(mSelf.mTenure), Encode(tenure), 0 },
  };
  SendCall(Step::Registering, CommitCall{ std::move(transaction) }, aOut);
}

StoreSession::Change StoreSession::OnListing(const StoreListing& aListing,
                                             Instant aNow,
                                             OwnershipActions& aOut)
{
  if (mStep == Step::Listing) {
    return OnListed(aListing);
  }
  if (mStep == Step::ReadingBack) {
    return OnReadBack(aListing, aNow, aOut);
  }
  const std::vector<LiveEntry> live = DecodeLive(aListing);
  const LiveEntry* const old = FindIn(live, mSelf.mEntry);
  if (old != nullptr && old->mRecord.mIncarnation > mSelf.mIncarnation) {
    Stop();
    return Change::Superseded;
  }
  Register(aListing, aOut);
  return Change::None;
}

StoreSession::Change StoreSession::OnCommit(
  const StoreTransactionResult& aResult,
  Instant aNow,
  OwnershipActions& aOut)
{
  if (!aResult.mApplied) {
    mStep = Step::Idle;
    return Change::None;
  }
  return OnRegistered(aResult.mRevision, aNow, aOut);
}

StoreSession::Change StoreSession::OnRegistered(Revision aRevision,
                                                Instant aNow,
                                                OwnershipActions& aOut)
{
  mTenure = mSelf.mTenure;
  mRecordRevision = aRevision;
  StartRound(aNow, aOut);
  return Change::Registered;
}

StoreSession::Change StoreSession::OnReadBack(const StoreListing& aListing,
                                              Instant aNow,
                                              OwnershipActions& aOut)
{
  const std::vector<LiveEntry> live = DecodeLive(aListing);
  const LiveEntry* const own = FindIn(live, mSelf.mEntry);
  if (own == nullptr || own->mRecord.mTenure != mSelf.mTenure) {
    mStep = Step::Idle;
    return Change::None;
  }
  return OnRegistered(own->mModRevision, aNow, aOut);
}

StoreSession::Change StoreSession::OnListed(const StoreListing& aListing)
{
  std::vector<LiveEntry> live = DecodeLive(aListing);
  const LiveEntry* const own = FindIn(live, mSelf.mEntry);
  if (own != nullptr && own->mRecord.mIncarnation > mSelf.mIncarnation) {
    Stop();
    return Change::Superseded;
  }
  if (own == nullptr || own->mRecord.mTenure != *mTenure) {
    return End();
  }
  mStep = Step::Idle;
  mRoster.Confirm(mRoundStarted, std::move(live));
  return Change::Confirmed;
}

StoreSession::Change StoreSession::OnFailure(OwnershipActions& aOut)
{
  if (mStep == Step::Registering) {
    // The registration may have taken effect, so it is read back, not repeated.
    SendCall(Step::ReadingBack, ListCall{ std::string(kEntriesPrefix) }, aOut);
    return Change::None;
  }
  mStep = Step::Idle;
  return Change::None;
}

StoreSession::Change StoreSession::End()
{
  mStep = Step::Idle;
  mRoster.Leave();
  const bool hadTenure = mTenure.has_value();
  mTenure.reset();
  return hadTenure ? Change::Ended : Change::None;
}

} // namespace foxtailbarrow
