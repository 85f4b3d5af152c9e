#pragma once

#include <string>
#include <string_view>
#include <utility>

#include "absl/status/statusor.h"

#include "foxtailbarrow/Endpoint.h"
#include "foxtailbarrow/Time.h"
#include "foxtailbarrow/Verdict.h"
#include "src/core/message/Codec.h"
#include "src/net/Rpc.h"

/// JSON-RPC with the typed messages of Messages.h instead of JSON values.
namespace foxtailbarrow::net {

/// Registers a method whose handler takes a `Request` and returns a reply or an
/// absl::StatusOr of one. Invalid params are rejected as NotRun before the
/// handler is called.
template<typename Request, typename Handler>
void AddTyped(RpcDispatcher& aDispatcher,
              std::string_view aName,
              Handler aHandler)
{
  aDispatcher.Add(
    std::string(aName),
    [handler = std::move(aHandler), &timer = aDispatcher.CodecTime()](
      const Json::Value& aParams) -> absl::StatusOr<Json::Value> {
      absl::StatusOr<Request> request =
        timer.Measure([&] { return FromJson<Request>(aParams); });
      if (!request.ok()) {
        return WithVerdict(request.status(), Verdict::NotRun);
      }
      auto reply = handler(*request);
      if constexpr (requires { reply.status(); }) {
        if (!reply.ok()) {
          return reply.status();
        }
        return timer.Measure([&] { return ToJson(*reply); });
      } else {
        return timer.Measure([&] { return ToJson(reply); });
      }
    });
}

/// Calls a method. A reply that cannot be parsed is an error with MayHaveRun.
template<typename Reply, typename Request>
absl::StatusOr<Reply> CallTyped(RpcClient& aClient,
                                const Endpoint& aEndpoint,
                                std::string_view aMethod,
                                const Request& aRequest,
                                Duration aTimeout)
{
  const Json::Value params =
    aClient.CodecTime().Measure([&] { return ToJson(aRequest); });
  const absl::StatusOr<Json::Value> reply =
    aClient.Call(aEndpoint, aMethod, params, aTimeout);
  if (!reply.ok()) {
    return reply.status();
  }
  absl::StatusOr<Reply> typed =
    aClient.CodecTime().Measure([&] { return FromJson<Reply>(*reply); });
  if (!typed.ok()) {
    return WithVerdict(typed.status(), Verdict::MayHaveRun);
  }
  return typed;
}

} // namespace foxtailbarrow::net
