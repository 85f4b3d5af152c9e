#pragma once

#include <optional>
#include <variant>
#include <vector>

#include "apps/entry/AgentCalls.h"
#include "apps/entry/CallerRequest.h"
#include "apps/entry/ContractTable.h"
#include "src/core/admission/ShareAllocation.h"
#include "src/core/base/Snapshot.h"
#include "src/core/retry/RetryPolicy.h"
#include "src/core/routing/CopyLimit.h"
#include "src/core/routing/OutlierDetector.h"
#include "src/core/routing/Router.h"
#include "src/net/HttpClient.h"
#include "src/telemetry/Metrics.h"

namespace foxtailbarrow::entry {

/// Forwards callers' requests to backend servers and returns their responses.
///
/// Guarantees: a response belongs to its request and is complete or an error; a
/// request is retried only if the previous attempt did not run or the request
/// is idempotent; a refusal is sent at once and states when to retry. Runs on
/// the request threads; shares only snapshots and atomics with others.
class RequestProxy
{
public:
  RequestProxy(const Snapshot<RoutingTable>& aRouting,
               const Snapshot<ContractTable>& aContracts,
               const Snapshot<ShareAllocation>& aShares,
               FailureDomainId aOwnDomain,
               const OutlierDetector& aDetector,
               DeadlineLimits aDeadlines,
               net::HttpClient& aClient,
               Metrics& aMetrics);

  net::HttpResponse Forward(net::HttpRequest& aRequest);

private:
  /// State of a request across its attempts.
  struct Progress
  {
    net::HttpRequest& mRequest;
    const CallerRequest& mCaller;
    ServiceId mService;
    std::vector<AgentId> mExcluded;
    Verdict mEarlierVerdict = Verdict::NotRun; ///< Worst one so far.
    bool mKeyRevoked = false;
    int mAttempts = 0;
  };

  net::HttpResponse ForwardAdmitted(net::HttpRequest& aRequest,
                                    const CallerRequest& aCaller,
                                    const CustomerState& aCustomer);
  net::HttpResponse Route(Progress& aProgress);
  ServiceId ServiceOf(const Contract& aContract) const;
  Choice Pick(const Progress& aProgress) const;
  std::optional<Refusal> RevokeFirst(const Progress& aProgress,
                                     Picked& aPicked);
  Attempt Send(Progress& aProgress, Picked aPicked);
  std::optional<Refusal> AfterFailure(Progress& aProgress,
                                      const Attempt& aAttempt);
  net::HttpResponse Refuse(const Refusal& aRefusal);

  const Snapshot<RoutingTable>& mRouting;
  const Snapshot<ContractTable>& mContracts;
  const Snapshot<ShareAllocation>& mShares;
  Router mRouter;
  const OutlierDetector& mDetector;
  DeadlineLimits mDeadlines;
  AgentCalls mAgents;
  RetryPolicy mRetryPolicy;
  RetryBudget mRetryBudget;
  prometheus::Counter& mRequests;
  prometheus::Counter& mAnswered;
  prometheus::Counter& mRefused;
  prometheus::Counter& mRetried;
};

} // namespace foxtailbarrow::entry
