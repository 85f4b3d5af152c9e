#include "src/core/ownership/EntryRoster.h"

#include <algorithm>
#include <utility>

namespace foxtailbarrow {

namespace {

const EntryId& IdOf(const LiveEntry& aEntry)
{
  return aEntry.mRecord.mEntry;
}

} // namespace

EntryRoster::EntryRoster(EntryId aSelf, Duration aValidity, Duration aJoinWait)
  : mSelf(std::move(aSelf))
  , mValidity(aValidity)
  , mJoinWait(aJoinWait)
{
}

void EntryRoster::Confirm(Instant aStarted, std::vector<LiveEntry> aLive)
{
  std::ranges::sort(aLive, {}, IdOf);
  mLive = std::move(aLive);
  mStarted = aStarted;
  if (!mMemberSince) {
    mMemberSince = aStarted;
  }
}

void EntryRoster::Leave()
{
  mStarted.reset();
  mMemberSince.reset();
}

bool EntryRoster::Confirmed(Instant aNow) const
{
  return mStarted && aNow < *mStarted + mValidity;
}

bool EntryRoster::Joined(Instant aNow) const
{
  return Confirmed(aNow) && aNow >= *mMemberSince + mJoinWait;
}

std::optional<std::size_t> EntryRoster::Rank() const
{
  const LiveEntry* const self = Find(mSelf);
  if (self == nullptr) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(self - mLive.data());
}

const LiveEntry* EntryRoster::Find(const EntryId& aEntry) const
{
  const auto found = std::ranges::lower_bound(mLive, aEntry, {}, IdOf);
  if (found == mLive.end() || IdOf(*found) != aEntry) {
    return nullptr;
  }
  return &*found;
}

Endpoint EntryRoster::AddressOf(const Voter& aVoter) const
{
  const LiveEntry* const live = Find(aVoter.mEntry);
  return live == nullptr ? aVoter.mEndpoint : live->mRecord.mEndpoint;
}

Voters EntryRoster::AsVoters() const
{
  Voters voters;
  voters.reserve(mLive.size());
  for (const LiveEntry& live : mLive) {
    voters.push_back({ live.mRecord.mEntry, live.mRecord.mEndpoint });
  }
  return voters;
}

} // namespace foxtailbarrow
