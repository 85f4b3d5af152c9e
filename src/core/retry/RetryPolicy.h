#pragma once

#include <optional>

#include "absl/random/bit_gen_ref.h"

#include "foxtailbarrow/Reason.h"
#include "foxtailbarrow/Time.h"
#include "foxtailbarrow/Verdict.h"
#include "src/core/retry/RetryBudget.h"
#include "src/core/retry/RetryDecision.h"

namespace foxtailbarrow {

struct RetrySettings
{
  int mMaxAttempts = 3;
  Duration mFirstDelay = std::chrono::milliseconds(2); ///< Doubled each time.
  Duration mLongestDelay = std::chrono::milliseconds(50);
  Duration mMinRemaining = std::chrono::milliseconds(5); ///< To be worth a try.
  Duration mRetryAfter = std::chrono::seconds(1);
};

/// An attempt that ended without an answer to pass on.
struct FailedAttempt
{
  Verdict mVerdict = Verdict::MayHaveRun; ///< Of this attempt.
  Verdict mEarlierVerdict =
    Verdict::NotRun;             ///< WorstVerdict() of those before.
  Reason mReason = Reason::None; ///< Set when the agent refused.
  bool mIdempotent = false;
  int mAttempts = 1;                   ///< Made so far, this one included.
  Duration mRemaining{};               ///< Until the caller's deadline.
  std::optional<Duration> mRetryAfter; ///< As the agent advised, if it did.
};

/// Decides whether a request is tried again by the entry. Inputs: the failed
/// attempt, the budget, random bits for jitter. Output: a retry, or the final
/// answer, to be given at once.
///
/// Promises: work that is not idempotent is tried again only when the attempt
/// certainly did not run; retries stay within the budget, the attempts and the
/// deadline; the verdict of an answer covers all attempts. A caller is told
/// when to come back, except after a request that may have run and is not
/// idempotent: it must find out first.
class RetryPolicy
{
public:
  explicit RetryPolicy(RetrySettings aSettings = {})
    : mSettings(aSettings)
  {
  }

  RetryDecision Decide(const FailedAttempt& aAttempt,
                       RetryBudget& aBudget,
                       Instant aNow,
                       absl::BitGenRef aRandom) const;

private:
  Duration Delay(int aAttempts, absl::BitGenRef aRandom) const;
  GiveUp GiveUpFor(const FailedAttempt& aAttempt,
                   Reason aReason,
                   absl::BitGenRef aRandom) const;

  RetrySettings mSettings;
};

} // namespace foxtailbarrow
