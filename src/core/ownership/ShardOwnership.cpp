#include "src/core/ownership/ShardOwnership.h"

#include <algorithm>

#include "src/core/ownership/StoreKeys.h"

namespace foxtailbarrow {

ShardOwnership::ShardOwnership(const OwnershipSettings& aSettings,
                               const EntryRecord& aSelf,
                               Instant aNow)
  : mSettings(aSettings)
  , mSession(aSettings, aSelf, mNumbers)
  , mWitness(aSettings, aSelf.mEntry, aNow)
  , mStretch(aSettings, aSelf.mEntry)
  , mCloser(aSettings, aSelf.mEntry)
  , mKeeper(aSettings, mSession, mCloser, mNumbers)
  , mChores(aSettings, mSession, mStretch, mCloser, mNumbers)
{
}

OwnershipActions ShardOwnership::On(const OwnershipEvent& aEvent, Instant aNow)
{
  OwnershipActions out;
  if (mStretch.Lapsed(aNow)) {
    mKeeper.LoseAll(out);
  }
  std::visit([&](const auto& aAny) { Handle(aAny, aNow, out); }, aEvent);
  mSession.Advance(aNow, out);
  mStretch.Advance(mSession.Roster(), aNow, out);
  mCloser.Advance(mSession.Roster(), aNow, out);
  mKeeper.Advance(aNow, out);
  mChores.Advance(aNow, out);
  if (mDraining && !mLeaving && mSession.Tenure() && mKeeper.Empty()) {
    Leave(out);
  }
  ReportCleared(aNow, out);
  return out;
}

AttestReply ShardOwnership::OnAttest(const AttestRequest& aRequest,
                                     Instant aNow) const
{
  return mWitness.OnAttest(aRequest, aNow);
}

PromiseReply ShardOwnership::OnPromise(const PromiseRequest& aRequest)
{
  if (mActed && std::ranges::count(aRequest.mTenures, *mActed) != 0) {
    mStretch.Forbid();
  }
  return mWitness.OnPromise(aRequest);
}

bool ShardOwnership::MayExtend(ShardId aShard, Instant aNow) const
{
  return mKeeper.Held().contains(aShard) && mStretch.Holds(aNow);
}

bool ShardOwnership::MayReassign(ShardId aShard, Instant aNow) const
{
  const auto held = mKeeper.Held().find(aShard);
  if (held == mKeeper.Held().end() || !mStretch.Holds(aNow) ||
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
  mChores.OnReply(aEvent, aNow);
}

void ShardOwnership::Handle(const AttestReply& aEvent,
                            Instant,
                            OwnershipActions&)
{
  mStretch.OnReply(aEvent);
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
      mActed = mSession.Tenure();
      mStretch.Begin(*mActed, mSession.FirstVoters());
      mKeeper.OnRegistered(aNow);
      mChores.OnRegistered(aNow);
      return;
    case StoreSession::Change::Confirmed:
      mStretch.Confirm(*mSession.Roster().ConfirmedFrom());
      mWitness.OnRound(mSession.Roster());
      mKeeper.OnRound(aNow);
      mChores.OnRound(aNow);
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

void ShardOwnership::ReportCleared(Instant aNow, OwnershipActions& aOut)
{
  std::erase_if(mCleared, [this](const auto& aCleared) {
    return HeldGeneration(aCleared.first) != aCleared.second;
  });
  for (const auto& [shard, held] : mKeeper.Held()) {
    if (!mCleared.contains(shard) && MayReassign(shard, aNow)) {
      mCleared[shard] = held.mGeneration;
      aOut.push_back(EarlierLeasesOver{ shard });
    }
  }
}

void ShardOwnership::EndTenure(Instant aNow, OwnershipActions& aOut)
{
  mStretch.End();
  mKeeper.LoseAll(aOut);
  if (mActed) {
    mCloser.OwnWord(*mActed, aNow);
    mActed.reset();
  }
}

void ShardOwnership::Leave(OwnershipActions& aOut)
{
  // No shard names the tenure as its owner, so its record may go at once.
  const StoreLease tenure = *mSession.Tenure();
  StoreTransaction transaction;
  transaction.mWrites = {
    { EntryKey(mSession.Self().mEntry), std::nullopt, 0 },
    { TenureKey(tenure), std::nullopt, 0 },
  };
  transaction.mCompares = { { EntryKey(mSession.Self().mEntry),
                              mSession.RecordRevision() } };
  mLeaving = mNumbers.Next();
  aOut.push_back(StoreRequest{ *mLeaving, CommitCall{ transaction } });
}

} // namespace foxtailbarrow
