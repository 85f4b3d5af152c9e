#include "apps/agent/Forwarder.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <utility>
#include <variant>

#include "absl/hash/hash.h"

#include "apps/agent/SlotWaiter.h"
#include "foxtailbarrow/RequestHeaders.h"

namespace foxtailbarrow {

namespace {

constexpr unsigned kBadRequest = 400;
constexpr unsigned kConflict = 409;
constexpr unsigned kUnprocessable = 422;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;

/// Delay before a retry at an unavailable backend server.
constexpr Duration kBackendRetryAfter = std::chrono::seconds(1);

constexpr ErrorCause kMalformed{ kBadRequest, Reason::None, Verdict::NotRun };
constexpr ErrorCause kDuplicate{ kConflict,
                                 Reason::DuplicateRequest,
                                 Verdict::MayHaveRun };
constexpr ErrorCause kRevoked{ kConflict,
                               Reason::DuplicateRequest,
                               Verdict::NotRun };
constexpr ErrorCause kKeyMismatch{ kUnprocessable,
                                   Reason::None,
                                   Verdict::NotRun };
constexpr ErrorCause kClosed{ kUnavailable,
                              Reason::Draining,
                              Verdict::NotRun,
                              kBackendRetryAfter };

std::uint64_t Fingerprint(const net::HttpRequest& aRequest)
{
  return absl::HashOf(aRequest.mMethod, aRequest.mTarget, aRequest.mBody);
}

StoredAnswer ToStored(const net::HttpResponse& aResponse)
{
  StoredAnswer answer{ aResponse.mStatus, {}, aResponse.mBody };
  for (const net::HttpHeader& header : aResponse.mHeaders.All()) {
    answer.mHeaders.push_back({ header.mName, header.mValue });
  }
  return answer;
}

net::HttpResponse FromStored(const StoredAnswer& aAnswer)
{
  net::HttpResponse response;
  response.mStatus = aAnswer.mStatus;
  for (const StoredHeader& header : aAnswer.mHeaders) {
    response.mHeaders.Append(header.mName, header.mValue);
  }
  response.mBody = aAnswer.mBody;
  return response;
}

std::string ToText(const SlotLoad& aLoad)
{
  return std::to_string(aLoad.mInUse) + "/" + std::to_string(aLoad.mSlots) +
         "/" + std::to_string(aLoad.mWaiting);
}

std::int64_t MillisecondsLeft(Instant aDeadline, Instant aNow)
{
  return std::chrono::ceil<std::chrono::milliseconds>(aDeadline - aNow).count();
}

} // namespace

Forwarder::Forwarder(const AgentSettings& aSettings,
                     net::HttpClient& aClient,
                     Metrics& aMetrics,
                     Instant aStart)
  : mBackend(aSettings.mBackend)
  , mDefaultDeadline(aSettings.mDefaultDeadline)
  , mClient(aClient)
  , mRequests({}, aStart)
  , mKeys({})
  , mGate(aSettings.mSlots)
{
  for (const Verdict verdict :
       { Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran }) {
    mByVerdict[static_cast<std::size_t>(verdict)] =
      &aMetrics.Counter("agent_requests_total",
                        "Requests answered, by verdict",
                        { { "verdict", std::string(ToString(verdict)) } });
  }
}

net::HttpResponse Forwarder::Forward(net::HttpRequest& aRequest)
{
  const auto forwarded =
    ParseForwarded(aRequest.mHeaders, MonotonicNow(), mDefaultDeadline);
  net::HttpResponse response =
    forwarded ? Admit(aRequest, *forwarded) : ErrorResponse(kMalformed);
  if (forwarded) {
    response.mHeaders.Set(kRequestIdHeader, forwarded->mId.Value());
  }
  response.mHeaders.Set(kLoadHeader, ToText(mGate.Load()));
  return response;
}

net::HttpResponse Forwarder::Admit(net::HttpRequest& aRequest,
                                   const ForwardedRequest& aForwarded)
{
  switch (mRequests.Begin(aForwarded.mId, MonotonicNow())) {
    case RequestAdmission::Admitted:
      break;
    case RequestAdmission::InProgress:
    case RequestAdmission::Finished:
      return ErrorResponse(kDuplicate);
    case RequestAdmission::Revoked:
      return ErrorResponse(kRevoked);
  }
  Outcome outcome = Run(aRequest, aForwarded);
  mRequests.Finish(aForwarded.mId, outcome.mVerdict, MonotonicNow());
  mByVerdict[static_cast<std::size_t>(outcome.mVerdict)]->Increment();
  return std::move(outcome.mResponse);
}

Forwarder::Outcome Forwarder::Run(net::HttpRequest& aRequest,
                                  const ForwardedRequest& aForwarded)
{
  if (!mOpen.load(std::memory_order_relaxed)) {
    return Fail(kClosed);
  }
  return aForwarded.mKey ? RunKeyed(aRequest, aForwarded)
                         : RunInSlot(aRequest, aForwarded);
}

Forwarder::Outcome Forwarder::RunKeyed(net::HttpRequest& aRequest,
                                       const ForwardedRequest& aForwarded)
{
  const KeyedAttempt attempt =
    mKeys.Begin(*aForwarded.mKey, Fingerprint(aRequest), MonotonicNow());
  if (const auto* const replay = std::get_if<AttemptReplay>(&attempt)) {
    return { Verdict::Ran, FromStored(*replay->mAnswer) };
  }
  if (std::holds_alternative<AttemptDuplicate>(attempt)) {
    return Fail(kDuplicate);
  }
  if (std::holds_alternative<AttemptRevoked>(attempt)) {
    return Fail(kRevoked);
  }
  if (std::holds_alternative<AttemptMismatch>(attempt)) {
    return Fail(kKeyMismatch);
  }
  Outcome outcome = RunInSlot(aRequest, aForwarded);
  std::optional<StoredAnswer> answer;
  if (outcome.mVerdict == Verdict::Ran) {
    answer = ToStored(outcome.mResponse);
  }
  mKeys.Finish(
    *aForwarded.mKey, outcome.mVerdict, std::move(answer), MonotonicNow());
  return outcome;
}

Forwarder::Outcome Forwarder::RunInSlot(net::HttpRequest& aRequest,
                                        const ForwardedRequest& aForwarded)
{
  if (const auto refused = TakeSlot(aForwarded.mDeadline)) {
    return Fail(*refused);
  }
  const std::int32_t inUse = mGate.Load().mInUse;
  const Instant begin = MonotonicNow();
  Outcome outcome = CallBackend(aRequest, aForwarded.mDeadline);
  const Duration held = MonotonicNow() - begin;
  mGate.Release(held);
  if (mOnServed) {
    mOnServed(held, inUse);
  }
  return outcome;
}

std::optional<ErrorCause> Forwarder::TakeSlot(Instant aDeadline)
{
  if (mGate.TryTake()) {
    return std::nullopt;
  }
  const auto wait = std::make_shared<SlotWaiter>();
  const SlotAdmission admission =
    mGate.Wait(MonotonicNow(), aDeadline, [wait] { wait->Grant(); });
  if (std::holds_alternative<SlotGranted>(admission)) {
    return std::nullopt;
  }
  if (const auto* const refused = std::get_if<SlotRefused>(&admission)) {
    return ErrorCause{
      kUnavailable, refused->mReason, Verdict::NotRun, refused->mRetryAfter
    };
  }
  const SlotQueued& queued = std::get<SlotQueued>(admission);
  if (wait->WaitUntil(queued.mGiveUpAt) || !mGate.Withdraw(queued.mTicket)) {
    return std::nullopt;
  }
  return ErrorCause{ kUnavailable,
                     Reason::DeadlineTooShort,
                     Verdict::NotRun,
                     std::max<Duration>(mGate.ExpectedWait(),
                                        std::chrono::milliseconds(1)) };
}

Forwarder::Outcome Forwarder::CallBackend(net::HttpRequest& aRequest,
                                          Instant aDeadline)
{
  const Instant now = MonotonicNow();
  if (aDeadline <= now) {
    return Fail({ kGatewayTimeout, Reason::DeadlineTooShort, Verdict::NotRun });
  }
  aRequest.mHeaders.Set(kDeadlineHeader,
                        std::to_string(MillisecondsLeft(aDeadline, now)));
  absl::StatusOr<net::HttpResponse> response =
    mClient.Call(mBackend, aRequest, aDeadline - now);
  if (!response.ok()) {
    return Fail(CauseOf(response.status()));
  }
  response->mHeaders.Set(net::kVerdictHeader, ToString(Verdict::Ran));
  response->mHeaders.Erase(kReasonHeader);
  return { Verdict::Ran, *std::move(response) };
}

Forwarder::Outcome Forwarder::Fail(const ErrorCause& aCause)
{
  return { aCause.mVerdict, ErrorResponse(aCause) };
}

ErrorCause Forwarder::CauseOf(const absl::Status& aError) const
{
  const Verdict verdict = VerdictOf(aError);
  if (absl::IsDeadlineExceeded(aError)) {
    return { kGatewayTimeout, Reason::DeadlineTooShort, verdict };
  }
  if (verdict == Verdict::NotRun) {
    return {
      kUnavailable, Reason::NoBackendServer, verdict, kBackendRetryAfter
    };
  }
  return { kBadGateway, Reason::NoBackendServer, verdict };
}

RevokeReply Forwarder::Revoke(const foxtailbarrow::Revoke& aRevoke)
{
  const Instant now = MonotonicNow();
  if (aRevoke.mIdempotencyKey.empty()) {
    return { mRequests.Revoke(aRevoke.mRequest, aRevoke.mAge, now) };
  }
  const KeyRevocation promise =
    mKeys.Revoke({ aRevoke.mCustomer, aRevoke.mIdempotencyKey }, now);
  return { promise.mVerdict, promise.mPromisedBefore };
}

} // namespace foxtailbarrow
