#include "apps/entry/AgentCalls.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/strings/numbers.h"

#include "foxtailbarrow/MethodNames.h"
#include "foxtailbarrow/RequestHeaders.h"
#include "src/net/TypedRpc.h"

namespace foxtailbarrow::entry {

namespace {

constexpr Duration kRevokeTimeout = std::chrono::milliseconds(500);

std::string FormatRemainingMs(Duration aRemaining)
{
  const auto whole = std::chrono::ceil<std::chrono::milliseconds>(aRemaining);
  return std::to_string(std::max<std::int64_t>(whole.count(), 1));
}

std::optional<Duration> ParseSeconds(std::optional<std::string_view> aText)
{
  std::int64_t seconds = 0;
  if (!aText || !absl::SimpleAtoi(
                  absl::string_view(aText->data(), aText->size()), &seconds)) {
    return std::nullopt;
  }
  return std::chrono::seconds(seconds);
}

/// Parses the agent's headers into an Attempt and removes the load header.
Attempt ParseAttempt(net::HttpResponse aResponse)
{
  Attempt attempt;
  net::HttpHeaders& headers = aResponse.mHeaders;
  if (const auto load = headers.Find(kLoadHeader)) {
    attempt.mLoad = ParseLoadSnapshot(*load);
  }
  const auto verdict = headers.Find(net::kVerdictHeader);
  attempt.mVerdict = verdict
                       ? ParseVerdict(*verdict).value_or(Verdict::MayHaveRun)
                       : Verdict::MayHaveRun;
  if (const auto reason = headers.Find(kReasonHeader)) {
    attempt.mReason = ParseReason(*reason).value_or(Reason::None);
  }
  attempt.mRetryAfter = ParseSeconds(headers.Find(kRetryAfterHeader));
  headers.Erase(kLoadHeader);
  attempt.mResponse = std::move(aResponse);
  return attempt;
}

} // namespace

AgentCalls::AgentCalls(net::HttpClient& aClient, Metrics& aMetrics)
  : mClient(aClient)
  , mRpc(aClient)
  , mRevoked(
      aMetrics.Counter("requests_revoked_total",
                       "Lost attempts that an agent confirmed as not run"))
{
}

Attempt AgentCalls::Send(net::HttpRequest& aRequest,
                         const CallerRequest& aCaller,
                         const RoutableAgent& aAgent)
{
  const Instant start = MonotonicNow();
  const Duration remaining = aCaller.mDeadline - start;
  aRequest.mHeaders.Set(kRequestIdHeader, aCaller.mId.Value());
  aRequest.mHeaders.Set(kDeadlineHeader, FormatRemainingMs(remaining));
  if (aCaller.mIdempotent) {
    aRequest.mHeaders.Set(kIdempotentHeader, "true");
  }
  absl::StatusOr<net::HttpResponse> response =
    mClient.Call(aAgent.mEndpoint, aRequest, remaining);
  if (response.ok()) {
    return ParseAttempt(*std::move(response));
  }
  Attempt attempt;
  attempt.mVerdict = VerdictOf(response.status());
  if (attempt.mVerdict == Verdict::MayHaveRun && !aCaller.mIdempotent) {
    attempt.mVerdict = RevokeRequest(aCaller, aAgent, MonotonicNow() - start);
  }
  return attempt;
}

Verdict AgentCalls::RevokeRequest(const CallerRequest& aCaller,
                                  const RoutableAgent& aAgent,
                                  Duration aAge)
{
  Revoke revoke;
  revoke.mRequest = aCaller.mId;
  revoke.mAge = aAge;
  const auto reply = SendRevoke(revoke, aAgent);
  if (!reply || reply->mVerdict != Verdict::NotRun) {
    return Verdict::MayHaveRun;
  }
  mRevoked.Increment();
  return Verdict::NotRun;
}

std::optional<RevokeReply> AgentCalls::RevokeKey(const CallerRequest& aCaller,
                                                 const RoutableAgent& aAgent)
{
  Revoke revoke;
  revoke.mRequest = aCaller.mId;
  revoke.mCustomer = aCaller.mCustomer;
  revoke.mIdempotencyKey = std::string(aCaller.mIdempotencyKey);
  return SendRevoke(revoke, aAgent);
}

std::optional<RevokeReply> AgentCalls::SendRevoke(const Revoke& aRevoke,
                                                  const RoutableAgent& aAgent)
{
  const auto reply = net::CallTyped<RevokeReply>(
    mRpc, aAgent.mEndpoint, kRevokeMethod, aRevoke, kRevokeTimeout);
  if (!reply.ok()) {
    return std::nullopt;
  }
  return *reply;
}

} // namespace foxtailbarrow::entry
