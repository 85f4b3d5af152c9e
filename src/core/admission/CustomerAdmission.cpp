#include "src/core/admission/CustomerAdmission.h"

#include <algorithm>

namespace foxtailbarrow {

namespace {

/// Rates are split in units of a thousandth of a request per second.
constexpr double kRateUnits = 1000.0;

/// Lower bound of the Retry-After, which limits the load caused by retries.
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(10);

AdmissionDecision RefuseFor(Reason aReason,
                            Duration aWait,
                            const AdmissionRequest& aRequest)
{
  const Duration wait = std::max(aWait, kMinRetryAfter);
  return Refuse{ aReason, WithJitter(wait, aRequest.mJitter) };
}

} // namespace

BucketLimit RateShare(const Contract& aContract,
                      const ShareAllocation& aAllocation,
                      Instant aNow)
{
  const auto units =
    static_cast<std::int64_t>(aContract.mRequestsPerSecond * kRateUnits);
  const std::int64_t rate = UsableShare(units, aAllocation, aNow);
  const std::int64_t burst = UsableShare(aContract.mBurst, aAllocation, aNow);
  return { static_cast<double>(rate) / kRateUnits,
           std::max<std::int64_t>(burst, 1) };
}

AdmissionDecision CustomerAdmission::Decide(const Contract& aContract,
                                            const ShareAllocation& aAllocation,
                                            const AdmissionRequest& aRequest)
{
  const Instant now = aRequest.mNow;
  if (now >= aRequest.mDeadline ||
      aRequest.mExpectedWait >= aRequest.mDeadline - now) {
    return RefuseFor(
      Reason::DeadlineTooShort, aRequest.mExpectedWait, aRequest);
  }
  const std::int64_t concurrency =
    UsableShare(aContract.mMaxConcurrency, aAllocation, now);
  if (!mGate.TryEnter(concurrency)) {
    const Duration wait =
      concurrency == 0 ? kRetryWithoutShare : mGate.MeanInterval();
    return RefuseFor(Reason::ConcurrencyLimit, wait, aRequest);
  }
  if (const auto wait =
        mBucket.TryTake(now, RateShare(aContract, aAllocation, now))) {
    mGate.UndoEnter();
    return RefuseFor(Reason::RateLimit, *wait, aRequest);
  }
  return Admit{};
}

} // namespace foxtailbarrow
