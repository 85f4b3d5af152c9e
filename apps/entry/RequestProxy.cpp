#include "apps/entry/RequestProxy.h"

#include <algorithm>
#include <string>
#include <utility>

#include "absl/random/random.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include "foxtailbarrow/MethodNames.h"
#include "foxtailbarrow/RequestHeaders.h"
#include "src/core/routing/LoadFigures.h"
#include "src/net/TypedRpc.h"

namespace foxtailbarrow::entry {

namespace {

constexpr int kMaxAttempts = 3;
constexpr Duration kRevokeTimeout = std::chrono::milliseconds(500);
constexpr Duration kBusyRetryAfter = std::chrono::seconds(1);

absl::BitGen& Random()
{
  static thread_local absl::BitGen sRandom;
  return sRandom;
}

RequestId FreshId()
{
  const std::uint64_t high = Random()();
  const std::uint64_t low = Random()();
  return RequestId(absl::StrCat(absl::Hex(high, absl::kZeroPad16),
                                absl::Hex(low, absl::kZeroPad16)));
}

std::string RemainingMs(Instant aDeadline, Instant aNow)
{
  const auto remaining =
    std::chrono::ceil<std::chrono::milliseconds>(aDeadline - aNow);
  return std::to_string(std::max<std::int64_t>(remaining.count(), 1));
}

/// Headers that only the entry and the agent are to see.
void HideInternals(net::HttpResponse& aResponse)
{
  aResponse.mHeaders.Erase(kLoadHeader);
}

Refusal RefusalOf(const Attempt& aAttempt)
{
  const bool notRun = aAttempt.mVerdict == Verdict::NotRun;
  Refusal refusal;
  refusal.mStatus = notRun ? 503 : 502;
  refusal.mVerdict = aAttempt.mVerdict;
  refusal.mReason = aAttempt.mReason;
  refusal.mRetryAfter = kBusyRetryAfter;
  refusal.mMessage = notRun ? "the request was not run"
                            : "the request may have run; its answer is lost";
  return refusal;
}

} // namespace

RequestProxy::RequestProxy(const Snapshot<RoutingTable>& aRouting,
                           const Snapshot<ContractTable>& aContracts,
                           FailureDomainId aOwnDomain,
                           DeadlineLimits aDeadlines,
                           net::HttpClient& aClient,
                           Metrics& aMetrics)
  : mRouting(aRouting)
  , mContracts(aContracts)
  , mRouter(std::move(aOwnDomain))
  , mDeadlines(aDeadlines)
  , mClient(aClient)
  , mRpc(aClient)
  , mRequests(aMetrics.Counter("requests_total", "Requests from callers"))
  , mAnswered(aMetrics.Counter("requests_answered_total",
                               "Requests answered by a backend server"))
  , mRefused(aMetrics.Counter("requests_refused_total",
                              "Requests answered by an error of the system"))
  , mRetried(aMetrics.Counter("request_retries_total",
                              "Attempts after the first of a request"))
  , mRevoked(aMetrics.Counter("requests_revoked_total",
                              "Lost attempts that an agent said never ran"))
{
}

net::HttpResponse RequestProxy::Forward(net::HttpRequest& aRequest)
{
  mRequests.Increment();
  const auto read =
    ReadCallerRequest(aRequest, mDeadlines, FreshId(), MonotonicNow());
  if (const auto* refusal = std::get_if<Refusal>(&read)) {
    return Refuse(*refusal);
  }
  const auto& caller = std::get<CallerRequest>(read);
  const auto contracts = mContracts.Load();
  const Contract* contract = contracts->Find(caller.mCustomer);
  net::HttpResponse response;
  if (contract == nullptr) {
    response =
      Refuse({ .mStatus = 403,
               .mReason = Reason::NoContract,
               .mMessage = "no contract of this customer is in force" });
  } else {
    response = Route(aRequest, caller, contract->mService);
  }
  response.mHeaders.Set(kRequestIdHeader, caller.mId.Value());
  return response;
}

net::HttpResponse RequestProxy::Route(net::HttpRequest& aRequest,
                                      const CallerRequest& aCaller,
                                      const ServiceId& aService)
{
  std::vector<AgentId> excluded;
  Attempt last;
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    const Choice choice =
      mRouter.Pick(mRouting.Load(),
                   { .mService = aService,
                     .mCustomer = aCaller.mCustomer,
                     .mIdempotencyKey = aCaller.mIdempotencyKey,
                     .mIdempotent = aCaller.mIdempotent,
                     .mExcluded = excluded },
                   MonotonicNow(),
                   Random());
    if (const auto* none = std::get_if<NoChoice>(&choice)) {
      if (attempt > 0) {
        return Refuse(RefusalOf(last));
      }
      return Refuse({ .mVerdict = none->mVerdict,
                      .mReason = none->mReason,
                      .mRetryAfter = none->mRetryAfter,
                      .mMessage = "no backend server takes the request" });
    }
    if (attempt > 0) {
      mRetried.Increment();
    }
    const RoutableAgentPointer agent = std::get<Picked>(choice).mAgent;
    last = Send(aRequest, aCaller, *agent);
    if (last.mVerdict == Verdict::Ran) {
      mAnswered.Increment();
      return *std::move(last.mResponse);
    }
    const bool mayRepeat =
      last.mVerdict == Verdict::NotRun || aCaller.mIdempotent;
    if (!mayRepeat || MonotonicNow() >= aCaller.mDeadline) {
      break;
    }
    excluded.push_back(agent->mAgent);
  }
  return Refuse(RefusalOf(last));
}

Attempt RequestProxy::Send(net::HttpRequest& aRequest,
                           const CallerRequest& aCaller,
                           const RoutableAgent& aAgent)
{
  const Instant start = MonotonicNow();
  aRequest.mHeaders.Set(kRequestIdHeader, aCaller.mId.Value());
  aRequest.mHeaders.Set(kDeadlineHeader, RemainingMs(aCaller.mDeadline, start));
  if (aCaller.mIdempotent) {
    aRequest.mHeaders.Set(kIdempotentHeader, "true");
  }
  aAgent.mGauges->mLoad.Start();
  absl::StatusOr<net::HttpResponse> response =
    mClient.Call(aAgent.mEndpoint, aRequest, aCaller.mDeadline - start);
  aAgent.mGauges->mLoad.End();
  Attempt attempt;
  if (!response.ok()) {
    attempt.mVerdict = VerdictOf(response.status());
    attempt.mReason = Reason::NoBackendServer;
    if (attempt.mVerdict == Verdict::MayHaveRun && !aCaller.mIdempotent) {
      attempt.mVerdict = Revoke(aCaller, aAgent, MonotonicNow() - start);
    }
    return attempt;
  }
  if (const auto load = response->mHeaders.Find(kLoadHeader)) {
    if (const auto figures = ParseLoadFigures(*load)) {
      aAgent.mGauges->mLoad.Report(*figures, MonotonicNow());
    }
  }
  HideInternals(*response);
  const auto verdict = response->mHeaders.Find(net::kVerdictHeader);
  attempt.mVerdict =
    verdict ? ParseVerdict(*verdict).value_or(Verdict::Ran) : Verdict::Ran;
  if (const auto reason = response->mHeaders.Find(kReasonHeader)) {
    attempt.mReason = ParseReason(*reason).value_or(Reason::None);
  }
  attempt.mResponse = *std::move(response);
  return attempt;
}

Verdict RequestProxy::Revoke(const CallerRequest& aCaller,
                             const RoutableAgent& aAgent,
                             Duration aAge)
{
  foxtailbarrow::Revoke question;
  question.mRequest = aCaller.mId;
  question.mAge = aAge;
  const auto reply = net::CallTyped<RevokeReply>(
    mRpc, aAgent.mEndpoint, kRevokeMethod, question, kRevokeTimeout);
  if (!reply.ok() || reply->mVerdict != Verdict::NotRun) {
    return Verdict::MayHaveRun;
  }
  mRevoked.Increment();
  return Verdict::NotRun;
}

net::HttpResponse RequestProxy::Refuse(const Refusal& aRefusal)
{
  mRefused.Increment();
  return AnswerOf(aRefusal);
}

} // namespace foxtailbarrow::entry
