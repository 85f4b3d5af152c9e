#include "src/core/ownership/OwnershipSettings.h"

namespace foxtailbarrow {

Duration OwnershipSettings::WaitFor(Duration aSpan)
{
  constexpr double kFactor = (1.0 + kClockRateError) / (1.0 - kClockRateError);
  return std::chrono::ceil<Duration>(aSpan * kFactor);
}

Duration OwnershipSettings::TenureWait() const
{
  return WaitFor(mAttestationValidity + mTaskLease) + mMargin;
}

bool OwnershipSettings::Check() const
{
  const bool confirmedWithinLease = WaitFor(mValidity) < mStoreLease;
  const bool joinSeenByAll = mJoinWait >= WaitFor(mValidity);
  const bool oneBound = mValidity <= mAttestationValidity;
  const bool silenceOutlastsPromise =
    mRestartSilence >= WaitFor(mPromiseWindow + mAttestationValidity);
  const bool holdOutlastsStretch =
    mHold >= WaitFor(mStretchLimit + mAttestationValidity + mTaskLease);
  return mShards > 0 && mShardsPerCommit > 0 && confirmedWithinLease &&
         joinSeenByAll && oneBound && silenceOutlastsPromise &&
         holdOutlastsStretch;
}

} // namespace foxtailbarrow
