#include "apps/replay/RequestReplayer.h"

#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include <boost/fiber/operations.hpp>

#include "apps/replay/CallerMessage.h"
#include "foxtailbarrow/RequestHeaders.h"
#include "foxtailbarrow/Verdict.h"

namespace foxtailbarrow::replay {

namespace {

/// Responses are accepted until this long after the deadline.
constexpr Duration kResponseMargin = std::chrono::seconds(2);

std::optional<Duration> RetryAfterOf(const net::HttpResponse& aResponse)
{
  const auto header = aResponse.mHeaders.Find(kRetryAfterHeader);
  if (std::int64_t seconds = 0;
      header && absl::SimpleAtoi(std::string(*header), &seconds)) {
    return std::chrono::seconds(seconds);
  }
  return std::nullopt;
}

/// Classifies a complete response.
AttemptEnd Classify(const net::HttpRequest& aRequest,
                    const net::HttpResponse& aResponse)
{
  const auto header = aResponse.mHeaders.Find(net::kVerdictHeader);
  const std::optional<Verdict> verdict =
    header ? ParseVerdict(*header) : std::nullopt;
  if (verdict == Verdict::NotRun) {
    return AttemptEnd::NotRun;
  }
  if (verdict == Verdict::MayHaveRun) {
    return AttemptEnd::MayHaveRun;
  }
  if (aResponse.mStatus != 200) {
    return AttemptEnd::Failed;
  }
  return EchoesRequest(aRequest, aResponse) ? AttemptEnd::Answered
                                            : AttemptEnd::WrongAnswer;
}

bool IsRetryable(AttemptEnd aEnd, bool aIdempotent)
{
  switch (aEnd) {
    case AttemptEnd::NotRun:
      return true;
    case AttemptEnd::MayHaveRun:
    case AttemptEnd::Unanswered:
      return aIdempotent;
    case AttemptEnd::Answered:
    case AttemptEnd::Failed:
    case AttemptEnd::WrongAnswer:
      break;
  }
  return false;
}

} // namespace

void RequestReplayer::Replay(const TraceRequest& aLine,
                             std::size_t aIndex,
                             Instant aDue)
{
  const Instant deadline = aDue + std::chrono::milliseconds(aLine.mDeadlineMs);
  const std::string name = absl::StrCat(mContext.mRun, "-", aIndex);
  AttemptedRequest attempted{ IsIdempotent(aLine), {} };
  for (int attempt = 0; attempt <= mContext.mMaxRetries; ++attempt) {
    const Duration remaining = deadline - MonotonicNow();
    if (attempt > 0 && remaining <= Duration{}) {
      break;
    }
    const net::HttpRequest request =
      MakeRequest(aLine, { absl::StrCat(name, "-", attempt), name, remaining });
    const Outcome outcome = Send(aLine, request, remaining);
    attempted.mAttempts.push_back(
      { absl::StrCat(name, "-", attempt), outcome.mEnd, outcome.mReason });
    if (!IsRetryable(outcome.mEnd, attempted.mIdempotent) ||
        !outcome.mRetryAfter ||
        MonotonicNow() + *outcome.mRetryAfter >= deadline) {
      break;
    }
    boost::this_fiber::sleep_for(*outcome.mRetryAfter);
  }
  mTracker.OnEnded(std::move(attempted), MonotonicNow() - aDue);
}

RequestReplayer::Outcome RequestReplayer::Send(const TraceRequest& aLine,
                                               const net::HttpRequest& aRequest,
                                               Duration aRemaining)
{
  const absl::StatusOr<net::HttpResponse> response = mContext.mClient.Call(
    mContext.NextEntry(), aRequest, aRemaining + kResponseMargin);
  if (response.ok()) {
    return { Classify(aRequest, *response),
             RetryAfterOf(*response),
             std::string(response->mHeaders.Find(kReasonHeader).value_or("")) };
  }
  // Like a load balancer, retries at once through another entry if nothing ran.
  const bool notRun = VerdictOf(response.status()) == Verdict::NotRun;
  const bool retry = notRun || IsIdempotent(aLine);
  return { notRun ? AttemptEnd::NotRun : AttemptEnd::Unanswered,
           retry ? std::optional(Duration{}) : std::nullopt,
           notRun ? "no connection to the entry" : "connection broke" };
}

} // namespace foxtailbarrow::replay
