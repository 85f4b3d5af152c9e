#include "src/core/retry/RetryPolicy.h"

#include <algorithm>

#include "src/core/retry/Jitter.h"
#include "src/core/retry/WorstVerdict.h"

namespace foxtailbarrow {

namespace {

Verdict VerdictOfAll(const FailedAttempt& aAttempt)
{
  return WorstVerdict(aAttempt.mVerdict, aAttempt.mEarlierVerdict);
}

bool IsSafeToRetry(const FailedAttempt& aAttempt)
{
  const Verdict verdict = VerdictOfAll(aAttempt);
  return verdict == Verdict::NotRun ||
         (verdict == Verdict::MayHaveRun && aAttempt.mIdempotent);
}

/// Refusals that any other agent would repeat. A duplicate with
/// Verdict::NotRun is none: that agent promised not to run it, but another may.
bool IsFinalRefusal(const FailedAttempt& aAttempt)
{
  switch (aAttempt.mReason) {
    case Reason::NoContract:
    case Reason::RateLimit:
    case Reason::DeadlineTooShort:
      return true;
    case Reason::DuplicateRequest:
      return aAttempt.mVerdict != Verdict::NotRun;
    default:
      return false;
  }
}

} // namespace

RetryDecision RetryPolicy::Decide(const FailedAttempt& aAttempt,
                                  RetryBudget& aBudget,
                                  Instant aNow,
                                  absl::BitGenRef aRandom) const
{
  if (!IsSafeToRetry(aAttempt) || IsFinalRefusal(aAttempt) ||
      aAttempt.mAttempts >= mSettings.mMaxAttempts) {
    return GiveUpFor(aAttempt, aAttempt.mReason, aRandom);
  }
  const Duration delay = Delay(aAttempt.mAttempts, aRandom);
  if (aAttempt.mRemaining < delay + mSettings.mMinRemaining) {
    return GiveUpFor(aAttempt, Reason::DeadlineTooShort, aRandom);
  }
  if (!aBudget.TryTake(aNow)) {
    return GiveUpFor(aAttempt, Reason::RetryBudgetSpent, aRandom);
  }
  return Retry{ delay, true };
}

Duration RetryPolicy::Delay(int aAttempts, absl::BitGenRef aRandom) const
{
  Duration maxDelay = mSettings.mFirstDelay;
  for (int i = 1; i < aAttempts && maxDelay < mSettings.mLongestDelay; ++i) {
    maxDelay *= 2;
  }
  maxDelay = std::min(maxDelay, mSettings.mLongestDelay);
  return Jitter(Duration::zero(), maxDelay, aRandom);
}

GiveUp RetryPolicy::GiveUpFor(const FailedAttempt& aAttempt,
                              Reason aReason,
                              absl::BitGenRef aRandom) const
{
  GiveUp answer{ VerdictOfAll(aAttempt), aReason, std::nullopt };
  if (IsSafeToRetry(aAttempt)) {
    const Duration minimum =
      aAttempt.mRetryAfter.value_or(mSettings.mRetryAfter);
    answer.mRetryAfter = Jitter(minimum, minimum * 2, aRandom);
  }
  return answer;
}

} // namespace foxtailbarrow
