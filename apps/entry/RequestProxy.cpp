#include "apps/entry/RequestProxy.h"

#include <string>
#include <utility>

#include <boost/fiber/operations.hpp>

#include "absl/random/random.h"
#include "absl/strings/str_cat.h"

#include "foxtailbarrow/RequestHeaders.h"
#include "src/core/retry/WorstVerdict.h"
#include "src/core/routing/RequestInFlight.h"

namespace foxtailbarrow::entry {

namespace {

constexpr unsigned kFirstServerError = 500;
constexpr Duration kStartingRetryAfter = std::chrono::seconds(2);
constexpr unsigned kBadRequest = 400;
constexpr unsigned kUnprocessable = 422;

absl::BitGen& Random()
{
  static thread_local absl::BitGen sRandom;
  return sRandom;
}

RequestId GenerateRequestId()
{
  const std::uint64_t high = Random()();
  const std::uint64_t low = Random()();
  return RequestId(absl::StrCat(absl::Hex(high, absl::kZeroPad16),
                                absl::Hex(low, absl::kZeroPad16)));
}

/// Reports the end of an admitted request to the customer's admission.
class AdmissionGuard
{
public:
  explicit AdmissionGuard(CustomerAdmission& aAdmission)
    : mAdmission(aAdmission)
  {
  }
  ~AdmissionGuard() { mAdmission.Finish(MonotonicNow()); }

  AdmissionGuard(const AdmissionGuard&) = delete;
  AdmissionGuard& operator=(const AdmissionGuard&) = delete;

private:
  CustomerAdmission& mAdmission;
};

/// Outcome of the attempt for the agent's health.
Outcome OutcomeOf(const Attempt& aAttempt)
{
  if (aAttempt.mVerdict == Verdict::Ran) {
    return aAttempt.mResponse->mStatus < kFirstServerError ? Outcome::Success
                                                           : Outcome::Failure;
  }
  return aAttempt.mReason == Reason::None ? Outcome::Failure : Outcome::Neutral;
}

/// True if the response goes to the caller: the request ran, or it is one that
/// every agent would reject.
bool IsFinal(const Attempt& aAttempt)
{
  if (aAttempt.mVerdict == Verdict::Ran) {
    return true;
  }
  return aAttempt.mResponse && aAttempt.mVerdict == Verdict::NotRun &&
         aAttempt.mReason == Reason::None &&
         (aAttempt.mResponse->mStatus == kBadRequest ||
          aAttempt.mResponse->mStatus == kUnprocessable);
}

Refusal NoContract(const ContractTable& aContracts)
{
  Refusal refusal;
  refusal.mReason = Reason::NoContract;
  if (aContracts.mAsOf == 0) {
    refusal.mStatus = 503;
    refusal.mRetryAfter = kStartingRetryAfter;
    refusal.mMessage = "the entry has not read the contracts yet";
    return refusal;
  }
  refusal.mStatus = 403;
  refusal.mMessage = "no contract of this customer is in force";
  return refusal;
}

Refusal RefusalOf(const GiveUp& aGiveUp)
{
  const bool notRun = aGiveUp.mVerdict == Verdict::NotRun;
  Refusal refusal;
  refusal.mStatus = notRun ? 503 : 502;
  refusal.mVerdict = aGiveUp.mVerdict;
  refusal.mReason = aGiveUp.mReason;
  refusal.mRetryAfter = aGiveUp.mRetryAfter;
  refusal.mMessage = notRun ? "the request was not run"
                            : "the request may have run; its answer is lost";
  return refusal;
}

} // namespace

RequestProxy::RequestProxy(const Snapshot<RoutingTable>& aRouting,
                           const Snapshot<ContractTable>& aContracts,
                           const Snapshot<ShareAllocation>& aShares,
                           FailureDomainId aOwnDomain,
                           const OutlierDetector& aDetector,
                           DeadlineLimits aDeadlines,
                           net::HttpClient& aClient,
                           Metrics& aMetrics)
  : mRouting(aRouting)
  , mContracts(aContracts)
  , mShares(aShares)
  , mRouter(std::move(aOwnDomain))
  , mDetector(aDetector)
  , mDeadlines(aDeadlines)
  , mAgents(aClient, aMetrics)
  , mRetryBudget({}, MonotonicNow())
  , mRequests(aMetrics.Counter("requests_total", "Requests from callers"))
  , mAnswered(aMetrics.Counter("requests_answered_total",
                               "Requests answered by a backend server"))
  , mRefused(aMetrics.Counter("requests_refused_total",
                              "Requests answered by an error of the system"))
  , mRetried(aMetrics.Counter("request_retries_total",
                              "Attempts after the first of a request"))
{
}

net::HttpResponse RequestProxy::Forward(net::HttpRequest& aRequest)
{
  mRequests.Increment();
  const auto read = ReadCallerRequest(
    aRequest, mDeadlines, GenerateRequestId(), MonotonicNow());
  if (const auto* refusal = std::get_if<Refusal>(&read)) {
    return Refuse(*refusal);
  }
  const auto& caller = std::get<CallerRequest>(read);
  const auto contracts = mContracts.Load();
  const CustomerState* customer = contracts->Find(caller.mCustomer);
  net::HttpResponse response = customer != nullptr
                                 ? ForwardAdmitted(aRequest, caller, *customer)
                                 : Refuse(NoContract(*contracts));
  response.mHeaders.Set(kRequestIdHeader, caller.mId.Value());
  return response;
}

net::HttpResponse RequestProxy::ForwardAdmitted(net::HttpRequest& aRequest,
                                                const CallerRequest& aCaller,
                                                const CustomerState& aCustomer)
{
  const AdmissionDecision decision = aCustomer.mAdmission->Decide(
    *aCustomer.mContract,
    *mShares.Load(),
    { .mNow = MonotonicNow(),
      .mDeadline = aCaller.mDeadline,
      .mJitter = absl::Uniform(Random(), 0.0, 1.0) });
  if (const auto* refused = std::get_if<foxtailbarrow::Refuse>(&decision)) {
    return Refuse({ .mStatus = 429,
                    .mReason = refused->mReason,
                    .mRetryAfter = refused->mRetryAfter,
                    .mMessage = "the customer's share of its contract at this "
                                "entry is used up" });
  }
  const AdmissionGuard end(*aCustomer.mAdmission);
  Progress progress{ aRequest, aCaller, ServiceOf(*aCustomer.mContract), {} };
  return Route(progress);
}

net::HttpResponse RequestProxy::Route(Progress& aProgress)
{
  mRetryBudget.OnFirstAttempt();
  while (true) {
    Choice choice = Pick(aProgress);
    if (const auto* none = std::get_if<NoChoice>(&choice)) {
      return Refuse(RefusalOf(
        GiveUp{ WorstVerdict(aProgress.mEarlierVerdict, none->mVerdict),
                none->mReason,
                none->mRetryAfter }));
    }
    Picked& picked = std::get<Picked>(choice);
    if (const auto refusal = RevokeFirst(aProgress, picked)) {
      return Refuse(*refusal);
    }
    ++aProgress.mAttempts;
    Attempt attempt = Send(aProgress, std::move(picked));
    if (IsFinal(attempt)) {
      mAnswered.Increment();
      return *std::move(attempt.mResponse);
    }
    if (const auto refusal = AfterFailure(aProgress, attempt)) {
      return Refuse(*refusal);
    }
    mRetried.Increment();
  }
}

/// The customer's subset of the service if its contract allows fewer copies
/// than are serving; the service itself otherwise.
ServiceId RequestProxy::ServiceOf(const Contract& aContract) const
{
  const auto table = mRouting.Load();
  const ServiceTable* service = table->Find(aContract.mService);
  if (service == nullptr ||
      static_cast<std::int64_t>(service->mServing.size() +
                                service->mSuspect.size()) <=
        aContract.mMaxCopies) {
    return aContract.mService;
  }
  return LimitedService(aContract.mService, aContract.mCustomer);
}

Choice RequestProxy::Pick(const Progress& aProgress) const
{
  const CallerRequest& caller = aProgress.mCaller;
  return mRouter.Pick(mRouting.Load(),
                      { .mService = aProgress.mService,
                        .mCustomer = caller.mCustomer,
                        .mIdempotencyKey = caller.mIdempotencyKey,
                        .mIdempotent = caller.mIdempotent,
                        .mKeyRevoked = aProgress.mKeyRevoked,
                        .mExcluded = aProgress.mExcluded },
                      MonotonicNow(),
                      Random());
}

/// Asks the agents that may know the idempotency key to promise not to run it.
/// An agent that may have run it gets the request and replays its response.
std::optional<Refusal> RequestProxy::RevokeFirst(const Progress& aProgress,
                                                 Picked& aPicked)
{
  for (const RevokeTarget& target : aPicked.mRevokeFirst) {
    const auto reply = mAgents.RevokeKey(aProgress.mCaller, *target.mAgent);
    const bool mayHaveRunElsewhere =
      reply && target.mMustBeFirstPromise && reply->mPromisedBefore;
    if (!reply || mayHaveRunElsewhere) {
      return RefusalOf(
        GiveUp{ Verdict::MayHaveRun, Reason::KeyHolderLost, std::nullopt });
    }
    if (reply->mVerdict != Verdict::NotRun) {
      aPicked.mAgent = target.mAgent;
      return std::nullopt;
    }
  }
  return std::nullopt;
}

Attempt RequestProxy::Send(Progress& aProgress, Picked aPicked)
{
  RequestInFlight inFlight(std::move(aPicked), mDetector, MonotonicNow());
  Attempt attempt =
    mAgents.Send(aProgress.mRequest, aProgress.mCaller, inFlight.Agent());
  inFlight.Finish(OutcomeOf(attempt), MonotonicNow(), attempt.mLoad);
  aProgress.mExcluded.push_back(inFlight.Agent().mAgent);
  return attempt;
}

std::optional<Refusal> RequestProxy::AfterFailure(Progress& aProgress,
                                                  const Attempt& aAttempt)
{
  const Instant now = MonotonicNow();
  const RetryDecision decision =
    mRetryPolicy.Decide({ .mVerdict = aAttempt.mVerdict,
                          .mEarlierVerdict = aProgress.mEarlierVerdict,
                          .mReason = aAttempt.mReason,
                          .mIdempotent = aProgress.mCaller.mIdempotent,
                          .mAttempts = aProgress.mAttempts,
                          .mRemaining = aProgress.mCaller.mDeadline - now,
                          .mRetryAfter = aAttempt.mRetryAfter },
                        mRetryBudget,
                        now,
                        Random());
  if (const auto* giveUp = std::get_if<GiveUp>(&decision)) {
    return RefusalOf(*giveUp);
  }
  aProgress.mEarlierVerdict =
    WorstVerdict(aProgress.mEarlierVerdict, aAttempt.mVerdict);
  aProgress.mKeyRevoked |= aAttempt.mVerdict == Verdict::NotRun &&
                           aAttempt.mReason == Reason::DuplicateRequest;
  if (const Duration delay = std::get<Retry>(decision).mDelay;
      delay > Duration::zero()) {
    boost::this_fiber::sleep_for(delay);
  }
  return std::nullopt;
}

net::HttpResponse RequestProxy::Refuse(const Refusal& aRefusal)
{
  mRefused.Increment();
  return ErrorResponse(aRefusal);
}

} // namespace foxtailbarrow::entry
