#include "src/core/ownership/OwnershipSettings.h"

namespace foxtailbarrow {

Duration OwnershipSettings::WithClockError(Duration aSpan)
{
  constexpr double kFactor = (1.0 + kClockRateError) / (1.0 - kClockRateError);
  return std::chrono::ceil<Duration>(aSpan * kFactor);
}

Duration OwnershipSettings::TenureWait() const
{
  return WithClockError(mAttestationValidity + mTaskLease) + mMargin;
}

bool OwnershipSettings::Check() const
{
  const bool confirmedWithinLease = WithClockError(mValidity) < mStoreLease;
  const bool joinSeenByAll = mJoinWait >= WithClockError(mValidity);
  const bool oneBound = mValidity <= mAttestationValidity;
  const bool silenceOutlastsPromise =
    mRestartSilence >= WithClockError(mPromiseWindow + mAttestationValidity);
  const bool holdOutlastsStretch =
    mTenureTimeout >=
    WithClockError(mMaxExtension + mAttestationValidity + mTaskLease);
  return mShards > 0 && mShardsPerCommit > 0 && confirmedWithinLease &&
         joinSeenByAll && oneBound && silenceOutlastsPromise &&
         holdOutlastsStretch;
}

} // namespace foxtailbarrow
