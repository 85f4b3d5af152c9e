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
  /// A retry needs at least this time until the deadline.
  Duration mMinRemaining = std::chrono::milliseconds(5);
  Duration mRetryAfter = std::chrono::seconds(1);
};

/// An attempt that ended without a response to forward.
struct FailedAttempt
{
  Verdict mVerdict = Verdict::MayHaveRun;    ///< Of this attempt.
  Verdict mEarlierVerdict = Verdict::NotRun; ///< Of those before.
  Reason mReason = Reason::None;             ///< Set when the agent refused it.
  bool mIdempotent = false;
  int mAttempts = 1;                   ///< Made so far, this one included.
  Duration mRemaining{};               ///< Until the caller's deadline.
  std::optional<Duration> mRetryAfter; ///< As the agent advised, if it did.
};

/// Decides whether the entry retries a request. Inputs: the failed attempt, the
/// budget, random bits for jitter. Output: a retry, or the final answer, to be
/// sent at once.
///
/// Guarantees: a request that is not idempotent is retried only when no attempt
/// can have run; retries stay within the budget, the number of attempts and the
/// deadline; the verdict of an answer covers all attempts. An answer has a
/// Retry-After unless the request ran, or may have run and is not idempotent:
/// then the caller must first find out.
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
