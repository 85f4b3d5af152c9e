#include "src/core/routing/Router.h"

#include <utility>

#include "src/core/retry/Jitter.h"

namespace foxtailbarrow {

namespace {

constexpr Duration kBusyRetryAfter = std::chrono::seconds(1);
constexpr Duration kEmptyRetryAfter = std::chrono::seconds(3);

Candidate AsCandidate(const RoutableAgent* aAgent)
{
  return { aAgent, 0.0, false };
}

Candidate AsCandidate(const Candidate& aCandidate)
{
  return aCandidate;
}

/// Pointer that shares the table's reference count, which belongs to the
/// calling thread.
RoutableAgentPointer ShareOwnership(
  const std::shared_ptr<const RoutingTable>& aTable,
  const RoutableAgent* aAgent)
{
  return { aTable, aAgent };
}

NoChoice Refuse(Reason aReason, Duration aMinimum, absl::BitGenRef aRandom)
{
  return { aReason, Verdict::NotRun, Jitter(aMinimum, aMinimum * 2, aRandom) };
}

} // namespace

Router::Router(FailureDomainId aOwnDomain,
               RoutingPolicy aPolicy,
               KeyedPick aKeyed)
  : mOwnDomain(std::move(aOwnDomain))
  , mPolicy(std::move(aPolicy))
  , mKeyed(aKeyed)
{
}

Choice Router::Pick(const std::shared_ptr<const RoutingTable>& aTable,
                    const PickRequest& aRequest,
                    Instant aNow,
                    absl::BitGenRef aRandom) const
{
  const ServiceTable* service = aTable->Find(aRequest.mService);
  if (service == nullptr || service->Routable().empty()) {
    return Refuse(Reason::NoBackendServer, kEmptyRetryAfter, aRandom);
  }
  const PickContext context{ *service, aRequest, mOwnDomain, aNow };
  if (!aRequest.mIdempotencyKey.empty() && !aRequest.mIdempotent) {
    return PickKeyed(aTable, context, aRandom);
  }
  return PickAny(aTable, context, aRandom);
}

Choice Router::PickAny(const std::shared_ptr<const RoutingTable>& aTable,
                       const PickContext& aContext,
                       absl::BitGenRef aRandom) const
{
  const Candidate candidate = std::visit(
    [&](const auto& aPolicy) {
      return AsCandidate(aPolicy.Pick(aContext, aRandom));
    },
    mPolicy);
  if (!candidate) {
    return Refuse(Reason::BackendServersBusy, kBusyRetryAfter, aRandom);
  }
  return Picked{ ShareOwnership(aTable, candidate.mAgent),
                 {},
                 candidate.mIsProbe };
}

Choice Router::PickKeyed(const std::shared_ptr<const RoutingTable>& aTable,
                         const PickContext& aContext,
                         absl::BitGenRef aRandom) const
{
  const KeyedChoice keyed = mKeyed.Pick(aContext);
  if (keyed.mKeyHolderLost) {
    return NoChoice{ Reason::KeyHolderLost, Verdict::MayHaveRun, std::nullopt };
  }
  if (!keyed.mCandidate || !mKeyed.Claim(keyed.mCandidate, aContext.mNow)) {
    return Refuse(Reason::BackendServersBusy, kBusyRetryAfter, aRandom);
  }
  Picked picked{ ShareOwnership(aTable, keyed.mCandidate.mAgent),
                 {},
                 keyed.mCandidate.mIsProbe };
  for (const KeyedRevokeTarget& ask : keyed.mRevokeFirst) {
    picked.mRevokeFirst.push_back(
      { ShareOwnership(aTable, ask.mAgent), ask.mMustBeFirstPromise });
  }
  return picked;
}

} // namespace foxtailbarrow
