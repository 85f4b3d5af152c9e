#include "src/core/routing/Router.h"

#include <utility>

#include "src/core/retry/Jitter.h"

namespace foxtailbarrow {

namespace {

constexpr Duration kBusyRetryAfter = std::chrono::seconds(1);
constexpr Duration kEmptyRetryAfter = std::chrono::seconds(3);

LeastLoadedPick::Result AsResult(const RoutableAgent* aAgent)
{
  return { aAgent, false };
}

LeastLoadedPick::Result AsResult(const LeastLoadedPick::Result& aResult)
{
  return aResult;
}

NoChoice Refuse(Reason aReason, Duration aLeast, absl::BitGenRef aRandom)
{
  return { aReason, Verdict::NotRun, Jitter(aLeast, aLeast * 2, aRandom) };
}

} // namespace

Router::Router(FailureDomainId aOwnDomain, RoutingPolicy aPolicy)
  : mOwnDomain(std::move(aOwnDomain))
  , mPolicy(std::move(aPolicy))
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
  return PickAny(aTable, context, aRandom);
}

Choice Router::PickAny(const std::shared_ptr<const RoutingTable>& aTable,
                       const PickContext& aContext,
                       absl::BitGenRef aRandom) const
{
  const auto result = std::visit(
    [&](const auto& aPolicy) {
      return AsResult(aPolicy.Pick(aContext, aRandom));
    },
    mPolicy);
  if (result.mAgent == nullptr) {
    return Refuse(Reason::BackendServersBusy, kBusyRetryAfter, aRandom);
  }
  // Shares the table's reference count, which is the calling thread's own.
  return Picked{ RoutableAgentPointer(aTable, result.mAgent),
                 {},
                 result.mIsProbe };
}

} // namespace foxtailbarrow
