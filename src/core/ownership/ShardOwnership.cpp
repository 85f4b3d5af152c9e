#include "src/core/ownership/ShardOwnership.h"

#include <algorithm>

#include "src/core/ownership/StoreKeys.h"

namespace foxtailbarrow {

ShardOwnership::ShardOwnership(const OwnershipSettings& aSettings,
                               const EntryRecord& aSelf,
                               Instant aNow)
  : mSettings(aSettings)
  , mSession(aSettings, aSelf, mCallIds)
  , mVoter(aSettings, aSelf.mEntry, aNow)
  , mTenureValidity(aSettings, aSelf.mEntry)
  , mCloser(aSettings, aSelf.mEntry)
  , mKeeper(aSettings, mSession, mCloser, mCallIds)
  , mMaintenance(aSettings, mSession, mTenureValidity, mCloser, mCallIds)
{
}

OwnershipActions ShardOwnership::On(const OwnershipEvent& aEvent, Instant aNow)
{
  OwnershipActions out;
  if (mTenureValidity.CheckLapsed(aNow)) {
    mKeeper.GiveUpAll(out);
  }
  std::visit([&](const auto& aAny) { Handle(aAny, aNow, out); }, aEvent);
  mSession.Advance(aNow, out);
  mTenureValidity.Advance(mSession.Roster(), aNow, out);
  mCloser.Advance(mSession.Roster(), aNow, out);
  mKeeper.Advance(aNow, out);
  mMaintenance.Advance(aNow, out);
  if (mDraining && !mLeaving && mSession.Tenure() && mKeeper.Empty()) {
    Leave(out);
  }
  ReportExpiredLeases(aNow, out);
  return out;
}

AttestReply ShardOwnership::OnAttest(const AttestRequest& aRequest,
                                     Instant aNow) const
{
  return mVoter.OnAttest(aRequest, aNow);
}

PromiseReply ShardOwnership::OnPromise(const PromiseRequest& aRequest)
{
  if (mActingTenure &&
      std::ranges::count(aRequest.mTenures, *mActingTenure) != 0) {
    mTenureValidity.OnOwnPromise();
  }
  return mVoter.OnPromise(aRequest);
}

bool ShardOwnership::MayExtend(ShardId aShard, Instant aNow) const
{
  return mKeeper.Held().contains(aShard) && mTenureValidity.Holds(aNow);
}

bool ShardOwnership::MayReassign(ShardId aShard, Instant aNow) const
{
  const auto held = mKeeper.Held().find(aShard);
  if (held == mKeeper.Held().end() || !mTenureValidity.Holds(aNow) ||
      aNow < held->second.mReassignFrom) {
    return false;
  }
  return std::ranges::all_of(
    held->second.mPredecessors,
    [this, aNow](StoreLease aTenure) { return mCloser.Closed(aTenure, aNow); });
}

std::optional<Generation> ShardOwnership::HeldGeneration(ShardId aShard) const
{
  const auto held = mKeeper.Held().find(aShard);
  if (held == mKeeper.Held().end()) {
    return std::nullopt;
  }
  return held->second.mGeneration;
}

const LiveEntry* ShardOwnership::OwnerOf(ShardId aShard) const
{
  if (aShard >= mKeeper.Table().Size()) {
    return nullptr;
  }
  return mKeeper.Table().Owner(aShard, mSession.Roster());
}

void ShardOwnership::Handle(const OwnershipTick&, Instant, OwnershipActions&) {}

void ShardOwnership::Handle(const OwnershipDrain&,
                            Instant,
                            OwnershipActions& aOut)
{
  mDraining = true;
  mKeeper.Drain();
  if (!mSession.Tenure()) {
    mSession.Stop();
    aOut.push_back(Drained{});
  }
}

void ShardOwnership::Handle(const StoreReply& aEvent,
                            Instant aNow,
                            OwnershipActions& aOut)
{
  if (mLeaving == aEvent.mId) {
    mLeaving.reset();
    if (std::holds_alternative<StoreTransactionResult>(aEvent.mResult)) {
      EndTenure(aNow, aOut);
      mSession.Stop();
      aOut.push_back(Drained{});
    }
    return;
  }
  OnChange(mSession.OnReply(aEvent, aNow, aOut), aNow, aOut);
  mKeeper.OnReply(aEvent, aNow, aOut);
  mMaintenance.OnReply(aEvent, aNow);
}

void ShardOwnership::Handle(const AttestReply& aEvent,
                            Instant,
                            OwnershipActions&)
{
  mTenureValidity.OnReply(aEvent);
}

void ShardOwnership::Handle(const PromiseReply& aEvent,
                            Instant aNow,
                            OwnershipActions&)
{
  mCloser.OnReply(aEvent, aNow);
}

void ShardOwnership::OnChange(StoreSession::Change aChange,
                              Instant aNow,
                              OwnershipActions& aOut)
{
  switch (aChange) {
    case StoreSession::Change::None:
      return;
    case StoreSession::Change::Registered:
      mActingTenure = mSession.Tenure();
      mTenureValidity.Begin(*mActingTenure, mSession.FirstVoters());
      mKeeper.OnRegistered(aNow);
      mMaintenance.OnRegistered(aNow);
      return;
    case StoreSession::Change::Confirmed:
      mTenureValidity.Confirm(*mSession.Roster().LastConfirmedRound());
      mVoter.OnRound(mSession.Roster());
      mKeeper.OnRound(aNow);
      mMaintenance.OnRound(aNow);
      return;
    case StoreSession::Change::Ended:
      EndTenure(aNow, aOut);
      return;
    case StoreSession::Change::Superseded:
      EndTenure(aNow, aOut);
      aOut.push_back(Superseded{});
      return;
  }
}

void ShardOwnership::ReportExpiredLeases(Instant aNow, OwnershipActions& aOut)
{
  std::erase_if(mReportedExpired, [this](const auto& aReported) {
    return HeldGeneration(aReported.first) != aReported.second;
  });
  for (const auto& [shard, held] : mKeeper.Held()) {
    if (!mReportedExpired.contains(shard) && MayReassign(shard, aNow)) {
      mReportedExpired[shard] = held.mGeneration;
      aOut.push_back(EarlierLeasesExpired{ shard });
    }
  }
}

void ShardOwnership::EndTenure(Instant aNow, OwnershipActions& aOut)
{
  mTenureValidity.End();
  mKeeper.GiveUpAll(aOut);
  if (mActingTenure) {
    mCloser.OnOwnTenureEnded(*mActingTenure, aNow);
    mActingTenure.reset();
  }
}

void ShardOwnership::Leave(OwnershipActions& aOut)
{
  // No shard record names the tenure as owner, so the tenure's record can be
  // deleted at once.
  const StoreLease tenure = *mSession.Tenure();
  StoreTransaction transaction;
  transaction.mWrites = {
    { EntryKey(mSession.Self().mEntry), std::nullopt, 0 },
    { TenureKey(tenure), std::nullopt, 0 },
  };
  transaction.mCompares = { { EntryKey(mSession.Self().mEntry),
                              mSession.RecordRevision() } };
  mLeaving = mCallIds.Next();
  aOut.push_back(StoreRequest{ *mLeaving, CommitCall{ transaction } });
}

} // namespace foxtailbarrow
