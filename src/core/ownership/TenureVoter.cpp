#include "src/core/ownership/TenureVoter.h"

#include <utility>

namespace foxtailbarrow {

TenureVoter::TenureVoter(const OwnershipSettings& aSettings,
                         EntryId aSelf,
                         Instant aStarted)
  : mSettings(aSettings)
  , mSelf(std::move(aSelf))
  , mStarted(aStarted)
{
}

void TenureVoter::OnRound(const EntryRoster& aRoster)
{
  mHasRoster = true;
  mLive.clear();
  for (const LiveEntry& entry : aRoster.Live()) {
    mLive.insert(entry.mRecord.mTenure);
  }
}

AttestReply TenureVoter::OnAttest(const AttestRequest& aRequest,
                                  Instant aNow) const
{
  return {
    mSelf, aRequest.mTenure, aRequest.mSequence, Attests(aRequest.mTenure, aNow)
  };
}

PromiseReply TenureVoter::OnPromise(const PromiseRequest& aRequest)
{
  mPromised.insert(aRequest.mTenures.begin(), aRequest.mTenures.end());
  return { mSelf, aRequest.mTenures, aRequest.mSequence };
}

bool TenureVoter::Promised(StoreLease aTenure) const
{
  return mPromised.contains(aTenure);
}

bool TenureVoter::Attests(StoreLease aTenure, Instant aNow) const
{
  if (Promised(aTenure)) {
    return false;
  }
  if (mHasRoster) {
    // A tenure that was live after this process started cannot be one whose
    // promise was lost in the restart.
    return mLive.contains(aTenure);
  }
  return aNow >= mStarted + mSettings.mRestartSilence;
}

} // namespace foxtailbarrow
