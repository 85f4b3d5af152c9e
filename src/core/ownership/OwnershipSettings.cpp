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
  const bool validityWithinLease = WithClockError(mValidity) < mStoreLease;
  const bool joinSeenByAll = mJoinWait >= WithClockError(mValidity);
  const bool validityWithinAttestation = mValidity <= mAttestationValidity;
  const bool silenceExceedsPromise =
    mRestartSilence >= WithClockError(mPromiseWindow + mAttestationValidity);
  const bool timeoutExceedsExtension =
    mTenureTimeout >=
    WithClockError(mMaxExtension + mAttestationValidity + mTaskLease);
  return mShards > 0 && mShardsPerCommit > 0 && validityWithinLease &&
         joinSeenByAll && validityWithinAttestation && silenceExceedsPromise &&
         timeoutExceedsExtension;
}

} // namespace foxtailbarrow
