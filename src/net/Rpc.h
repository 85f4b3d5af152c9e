#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include <json/value.h>

#include "foxtailbarrow/Endpoint.h"
#include "foxtailbarrow/Time.h"
#include "src/net/CodecTimer.h"
#include "src/net/HttpClient.h"
#include "src/net/HttpMessage.h"

namespace foxtailbarrow::net {

/// HTTP target at which every process serves JSON-RPC 2.0 by POST.
inline constexpr std::string_view kRpcTarget = "/rpc";

/// Serves JSON-RPC 2.0 calls, using libjsonrpccpp. All methods must be
/// registered before the first call to Handle().
class RpcDispatcher
{
public:
  /// Maps the params object to the result. Runs in the connection's fiber. An
  /// error becomes a JSON-RPC error object whose data contains the status code
  /// and the verdict.
  using Method = std::function<absl::StatusOr<Json::Value>(const Json::Value&)>;

  RpcDispatcher();
  ~RpcDispatcher();

  void Add(std::string aName, Method aMethod);

  /// Handles the HTTP body of one call.
  HttpResponse Handle(const HttpRequest& aRequest);

  /// Time spent on encoding and decoding all calls so far.
  CodecTimer& CodecTime();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

/// Calls JSON-RPC 2.0 methods over an HttpClient.
class RpcClient
{
public:
  explicit RpcClient(HttpClient& aClient);

  /// Errors carry a Verdict: that of the HTTP call, or the one that the server
  /// returned.
  absl::StatusOr<Json::Value> Call(const Endpoint& aEndpoint,
                                   std::string_view aMethod,
                                   const Json::Value& aParams,
                                   Duration aTimeout);

  /// Time spent on encoding and decoding all calls so far.
  CodecTimer& CodecTime() { return mCodecTime; }

private:
  HttpClient& mClient;
  CodecTimer mCodecTime;
};

} // namespace foxtailbarrow::net
