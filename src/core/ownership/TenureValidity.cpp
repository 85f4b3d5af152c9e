#include "src/core/ownership/TenureValidity.h"

#include <algorithm>
#include <utility>

#include "src/core/ownership/VoterList.h"

namespace foxtailbarrow {

TenureValidity::TenureValidity(const OwnershipSettings& aSettings,
                               EntryId aSelf)
  : mSettings(aSettings)
  , mSelf(std::move(aSelf))
{
}

void TenureValidity::Begin(StoreLease aTenure, Voters aVoters)
{
  End();
  mTenure = aTenure;
  mVoterSets = { std::move(aVoters) };
}

void TenureValidity::End()
{
  mTenure.reset();
  mVoterSets.clear();
  mConfirmed.reset();
  mLapsed = true;
  mSent.clear();
  mAttested.clear();
}

void TenureValidity::Confirm(Instant aStarted)
{
  mConfirmed = aStarted;
  mLapsed = false;
}

void TenureValidity::AddPossibleVoters(Voters aVoters)
{
  mVoterSets.push_back(std::move(aVoters));
}

void TenureValidity::SetVoters(Voters aVoters)
{
  mVoterSets = { std::move(aVoters) };
}

void TenureValidity::Advance(const EntryRoster& aRoster,
                             Instant aNow,
                             OwnershipActions& aOut)
{
  // A round that is late by half its interval is the first sign of an outage.
  const Duration late = mSettings.mRoundInterval * 3 / 2;
  const bool doubted =
    mTenure && mConfirmed && !mLapsed && aNow >= *mConfirmed + late;
  if (doubted && aNow >= mLastSent + mSettings.mAttestationInterval) {
    Send(aRoster, aNow, aOut);
  }
}

void TenureValidity::Send(const EntryRoster& aRoster,
                          Instant aNow,
                          OwnershipActions& aOut)
{
  mLastSent = aNow;
  ++mSequence;
  absl::erase_if(mSent, [this, aNow](const auto& aSent) {
    return aSent.second + mSettings.mAttestationValidity < aNow;
  });
  mSent[mSequence] = aNow;
  for (const Voter& voter : Union(mVoterSets)) {
    if (voter.mEntry != mSelf) {
      aOut.push_back(SendAttest{ voter.mEntry,
                                 aRoster.AddressOf(voter),
                                 { mSelf, *mTenure, mSequence } });
    }
  }
}

void TenureValidity::OnReply(const AttestReply& aReply)
{
  const auto sent = mSent.find(aReply.mSequence);
  if (!aReply.mAttested || mTenure != aReply.mTenure || sent == mSent.end()) {
    return;
  }
  Instant& date = mAttested[aReply.mVoter];
  date = std::max(date, sent->second);
}

bool TenureValidity::CheckLapsed(Instant aNow)
{
  if (!mLapsed && !Holds(aNow)) {
    mLapsed = true;
  }
  return mLapsed;
}

bool TenureValidity::Holds(Instant aNow) const
{
  if (!mTenure || !mConfirmed || mLapsed) {
    return false;
  }
  if (aNow < *mConfirmed + mSettings.mValidity) {
    return true;
  }
  const auto until = ExtendedUntil(aNow);
  return until && aNow < *until;
}

bool TenureValidity::ExtendedByVoters(Instant aNow) const
{
  return Holds(aNow) && aNow >= *mConfirmed + mSettings.mValidity;
}

std::optional<Instant> TenureValidity::ExtendedUntil(Instant aNow) const
{
  Instant until = *mConfirmed + mSettings.mMaxExtension;
  for (const Voters& voters : mVoterSets) {
    const auto date = MajorityAttestedAt(voters, aNow);
    if (!date) {
      return std::nullopt;
    }
    until = std::min(until, *date + mSettings.mAttestationValidity);
  }
  return until;
}

std::optional<Instant> TenureValidity::MajorityAttestedAt(const Voters& aVoters,
                                                          Instant aNow) const
{
  std::vector<Instant> dates;
  for (const Voter& voter : aVoters) {
    if (voter.mEntry == mSelf) {
      dates.push_back(aNow);
    } else if (const auto found = mAttested.find(voter.mEntry);
               found != mAttested.end()) {
      dates.push_back(found->second);
    }
  }
  const std::size_t majority = MajorityOf(aVoters);
  if (dates.size() < majority) {
    return std::nullopt;
  }
  std::ranges::sort(dates, std::ranges::greater{});
  return dates[majority - 1];
}

} // namespace foxtailbarrow
