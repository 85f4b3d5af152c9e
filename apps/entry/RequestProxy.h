#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "absl/random/random.h"

#include "apps/entry/CallerRequest.h"
#include "apps/entry/ContractTable.h"
#include "src/core/base/Snapshot.h"
#include "src/core/routing/Router.h"
#include "src/net/HttpClient.h"
#include "src/net/Rpc.h"
#include "src/telemetry/Metrics.h"

namespace foxtailbarrow::entry {

/// What became of sending a request to one agent.
struct Attempt
{
  Verdict mVerdict = Verdict::MayHaveRun;
  Reason mReason = Reason::None;
  std::optional<net::HttpResponse> mResponse; ///< Whole, when there is one.
};

/// Takes a caller's request to a backend server and its answer back.
///
/// Promises: the answer is that to this request, whole or an error; a request
/// is sent again only when the attempt before did not run or the request is
/// idempotent; a refusal is answered at once and says when to come back.
/// Runs on the request threads; shares only snapshots and atomics with others.
class RequestProxy
{
public:
  RequestProxy(const Snapshot<RoutingTable>& aRouting,
               const Snapshot<ContractTable>& aContracts,
               FailureDomainId aOwnDomain,
               DeadlineLimits aDeadlines,
               net::HttpClient& aClient,
               Metrics& aMetrics);

  net::HttpResponse Forward(net::HttpRequest& aRequest);

private:
  net::HttpResponse Route(net::HttpRequest& aRequest,
                          const CallerRequest& aCaller,
                          const ServiceId& aService);
  Attempt Send(net::HttpRequest& aRequest,
               const CallerRequest& aCaller,
               const RoutableAgent& aAgent);
  Verdict Revoke(const CallerRequest& aCaller,
                 const RoutableAgent& aAgent,
                 Duration aAge);
  net::HttpResponse Refuse(const Refusal& aRefusal);

  const Snapshot<RoutingTable>& mRouting;
  const Snapshot<ContractTable>& mContracts;
  Router mRouter;
  DeadlineLimits mDeadlines;
  net::HttpClient& mClient;
  net::RpcClient mRpc;
  prometheus::Counter& mRequests;
  prometheus::Counter& mAnswered;
  prometheus::Counter& mRefused;
  prometheus::Counter& mRetried;
  prometheus::Counter& mRevoked;
};

} // namespace foxtailbarrow::entry
