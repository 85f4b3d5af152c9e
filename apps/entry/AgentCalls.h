#pragma once

#include <optional>
#include <string_view>

#include "apps/entry/CallerRequest.h"
#include "foxtailbarrow/Messages.h"
#include "src/core/routing/LoadSnapshot.h"
#include "src/core/routing/RoutableAgent.h"
#include "src/net/HttpClient.h"
#include "src/net/Rpc.h"
#include "src/telemetry/Metrics.h"

namespace foxtailbarrow::entry {

/// Outcome of sending a request to one agent.
struct Attempt
{
  Verdict mVerdict = Verdict::MayHaveRun;
  Reason mReason = Reason::None; ///< Set if the agent refused.
  std::optional<Duration> mRetryAfter;
  std::optional<net::HttpResponse> mResponse; ///< Complete, if any.
  std::optional<LoadSnapshot> mLoad;
};

/// Calls from the request path to agents. Callable from any request thread.
class AgentCalls
{
public:
  AgentCalls(net::HttpClient& aClient, Metrics& aMetrics);

  /// Sends the request and classifies the outcome. If the connection broke and
  /// the request is not idempotent, asks the agent to revoke it.
  Attempt Send(net::HttpRequest& aRequest,
               const CallerRequest& aCaller,
               const RoutableAgent& aAgent);

  /// Asks the agent never to run a request with the caller's idempotency key;
  /// nullopt if it does not answer.
  std::optional<RevokeReply> RevokeKey(const CallerRequest& aCaller,
                                       const RoutableAgent& aAgent);

private:
  Verdict RevokeRequest(const CallerRequest& aCaller,
                        const RoutableAgent& aAgent,
                        Duration aAge);
  std::optional<RevokeReply> SendRevoke(const Revoke& aRevoke,
                                        const RoutableAgent& aAgent);

  net::HttpClient& mClient;
  net::RpcClient mRpc;
  prometheus::Counter& mRevoked;
};

} // namespace foxtailbarrow::entry
