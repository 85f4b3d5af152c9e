#pragma once

#include <string_view>

#include "foxtailbarrow/Endpoint.h"
#include "foxtailbarrow/Worker.h"
#include "src/net/Rpc.h"

namespace foxtailbarrow {

/// JSON-RPC 2.0 over HTTP client of the platform's worker. Callable from any
/// fiber of the client's runtime. A reply that cannot be parsed is an error
/// with verdict MayHaveRun.
class RpcWorker final : public Worker
{
public:
  /// `aTimeout` applies to each call.
  RpcWorker(net::HttpClient& aClient, Endpoint aEndpoint, Duration aTimeout);

  absl::StatusOr<WorkerView> View() override;
  absl::Status Start(const TaskStart& aStart) override;
  absl::Status Renew(std::span<const TaskKey> aKeys, Duration aLease) override;
  absl::StatusOr<std::string> Checkpoint(const TaskKey& aKey) override;
  absl::Status Throttle(const TaskKey& aKey, double aFraction) override;
  absl::Status Stop(const TaskKey& aKey) override;
  absl::Status Acknowledge(std::span<const TaskKey> aKeys) override;

private:
  absl::StatusOr<Json::Value> Call(std::string_view aMethod,
                                   const Json::Value& aParams);

  net::RpcClient mRpc;
  const Endpoint mEndpoint;
  const Duration mTimeout;
};

} // namespace foxtailbarrow
