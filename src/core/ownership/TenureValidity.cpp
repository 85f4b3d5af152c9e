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
  // A round that is late by half an interval may be the start of an outage.
  const Duration late = mSettings.mRoundInterval * 3 / 2;
  const bool roundOverdue =
    mTenure && mConfirmed && !mLapsed && aNow >= *mConfirmed + late;
  if (roundOverdue && aNow >= mLastSent + mSettings.mAttestationInterval) {
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
  Instant& attestedAt = mAttested[aReply.mVoter];
  attestedAt = std::max(attestedAt, sent->second);
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
    const auto attestedAt = MajorityAttestedAt(voters, aNow);
    if (!attestedAt) {
      return std::nullopt;
    }
    until = std::min(until, *attestedAt + mSettings.mAttestationValidity);
  }
  return until;
}

std::optional<Instant> TenureValidity::MajorityAttestedAt(const Voters& aVoters,
                                                          Instant aNow) const
{
  std::vector<Instant> times;
  for (const Voter& voter : aVoters) {
    if (voter.mEntry == mSelf) {
      times.push_back(aNow);
    } else if (const auto found = mAttested.find(voter.mEntry);
               found != mAttested.end()) {
      times.push_back(found->second);
    }
  }
  const std::size_t majority = MajorityOf(aVoters);
  if (times.size() < majority) {
    return std::nullopt;
  }
  std::ranges::sort(times, std::ranges::greater{});
  return times[majority - 1];
}

} // namespace foxtailbarrow
