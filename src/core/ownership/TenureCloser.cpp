#include "src/core/ownership/TenureCloser.h"

#include <algorithm>
#include <utility>

#include "src/core/ownership/VoterList.h"

namespace foxtailbarrow {

TenureCloser::TenureCloser(const OwnershipSettings& aSettings, EntryId aSelf)
  : mSettings(aSettings)
  , mSelf(std::move(aSelf))
{
}

void TenureCloser::OnTenureEnded(StoreLease aTenure, Instant aNow)
{
  if (mDeleted.contains(aTenure)) {
    return;
  }
  if (const auto [ended, added] = mOpen.try_emplace(aTenure); added) {
    ended->second.mTimeoutAt = aNow + mSettings.mTenureTimeout;
  }
}

void TenureCloser::OnOwnTenureEnded(StoreLease aTenure, Instant aNow)
{
  OnTenureEnded(aTenure, aNow);
  if (const auto found = mOpen.find(aTenure); found != mOpen.end()) {
    ScheduleClose(found->second, aNow);
  }
}

void TenureCloser::OnRecord(StoreLease aTenure,
                            const TenureRecord& aRecord,
                            Instant aNow)
{
  const auto found = mOpen.find(aTenure);
  if (found == mOpen.end()) {
    return;
  }
  if (!found->second.mVoters) {
    found->second.mVoters = aRecord.mVoters;
  }
  // A process starts under an id only after its predecessor has exited.
  if (aRecord.mEntry == mSelf) {
    ScheduleClose(found->second, aNow);
  }
}

void TenureCloser::OnRecordDeleted(StoreLease aTenure)
{
  if (mOpen.erase(aTenure) != 0) {
    mDeleted.insert(aTenure);
  }
}

void TenureCloser::Advance(const EntryRoster& aRoster,
                           Instant aNow,
                           OwnershipActions& aOut)
{
  const std::vector<StoreLease> tenures = AwaitingPromises();
  if (tenures.empty() || aNow < mLastSent + mSettings.mPromiseInterval) {
    return;
  }
  mLastSent = aNow;
  mSent[++mSequence] = aNow;
  absl::erase_if(mSent, [this, aNow](const auto& aSent) {
    return aSent.second + mSettings.mPromiseWindow < aNow;
  });
  for (const Voter& voter : VotersOf(tenures)) {
    aOut.push_back(SendPromise{
      voter.mEntry, aRoster.AddressOf(voter), { mSelf, tenures, mSequence } });
  }
}

void TenureCloser::OnReply(const PromiseReply& aReply, Instant aNow)
{
  const auto sent = mSent.find(aReply.mSequence);
  if (sent == mSent.end()) {
    return;
  }
  for (const StoreLease tenure : aReply.mTenures) {
    const auto found = mOpen.find(tenure);
    if (found == mOpen.end() || found->second.mClosesAt) {
      continue;
    }
    Ended& ended = found->second;
    Instant& promisedAt = ended.mPromised[aReply.mVoter];
    promisedAt = std::max(promisedAt, sent->second);
    if (HasMajority(ended, aNow)) {
      ScheduleClose(ended, aNow);
    }
  }
}

bool TenureCloser::Closed(StoreLease aTenure, Instant aNow) const
{
  if (mDeleted.contains(aTenure)) {
    return true;
  }
  const auto found = mOpen.find(aTenure);
  if (found == mOpen.end()) {
    return false;
  }
  const Ended& ended = found->second;
  return aNow >= ended.mTimeoutAt ||
         (ended.mClosesAt && aNow >= *ended.mClosesAt);
}

std::vector<StoreLease> TenureCloser::WithoutRecords() const
{
  std::vector<StoreLease> tenures;
  for (const auto& [tenure, ended] : mOpen) {
    if (!ended.mVoters) {
      tenures.push_back(tenure);
    }
  }
  return tenures;
}

std::vector<StoreLease> TenureCloser::Deletable(Instant aNow) const
{
  std::vector<StoreLease> tenures;
  for (const auto& [tenure, ended] : mOpen) {
    if (Closed(tenure, aNow)) {
      tenures.push_back(tenure);
    }
  }
  std::ranges::sort(tenures);
  return tenures;
}

void TenureCloser::OnDeleted(std::span<const StoreLease> aTenures)
{
  for (const StoreLease tenure : aTenures) {
    OnRecordDeleted(tenure);
  }
}

bool TenureCloser::HasMajority(const Ended& aEnded, Instant aNow) const
{
  const auto isFresh = [&](const Voter& aVoter) {
    const auto promised = aEnded.mPromised.find(aVoter.mEntry);
    return promised != aEnded.mPromised.end() &&
           promised->second + mSettings.mPromiseWindow > aNow;
  };
  const auto fresh = std::ranges::count_if(*aEnded.mVoters, isFresh);
  return static_cast<std::size_t>(fresh) >= MajorityOf(*aEnded.mVoters);
}

void TenureCloser::ScheduleClose(Ended& aEnded, Instant aNow) const
{
  if (!aEnded.mClosesAt) {
    aEnded.mClosesAt = aNow + mSettings.TenureWait();
  }
}

Voters TenureCloser::VotersOf(std::span<const StoreLease> aTenures) const
{
  std::vector<Voters> lists;
  for (const StoreLease tenure : aTenures) {
    lists.push_back(*mOpen.at(tenure).mVoters);
  }
  return Union(lists);
}

std::vector<StoreLease> TenureCloser::AwaitingPromises() const
{
  std::vector<StoreLease> tenures;
  for (const auto& [tenure, ended] : mOpen) {
    if (ended.mVoters && !ended.mClosesAt) {
      tenures.push_back(tenure);
    }
  }
  std::ranges::sort(tenures);
  return tenures;
}

} // namespace foxtailbarrow
