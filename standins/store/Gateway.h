#pragma once

#include <atomic>
#include <cstdint>
#include <memory>

#include <json/value.h>

#include "absl/status/statusor.h"

#include "foxtailbarrow/Endpoint.h"
#include "src/net/FiberRuntime.h"
#include "src/net/HttpServer.h"
#include "src/platform/store/MemoryStore.h"

namespace foxtailbarrow {

/// Serves a MemoryStore by etcd v3's JSON gateway, together with the switches
/// for its faults (POST /standin/faults) and its counters (GET
/// /standin/counters), which answer in an outage too. A malformed request is
/// answered 400 and changes nothing. For tests and demonstrations alone: one
/// process, nothing kept.
class Gateway
{
public:
  /// Both references outlive the gateway; port 0 lets the system choose.
  static absl::StatusOr<std::unique_ptr<Gateway>>
  Start(net::FiberRuntime& aRuntime, MemoryStore& aStore, const Endpoint& aAt);

  ~Gateway();

  Endpoint ListeningEndpoint() const { return mServer->ListeningEndpoint(); }

private:
  using Reply = absl::StatusOr<Json::Value>;
  using Call = Reply (Gateway::*)(const Json::Value&);
  struct Route;
  static const Route kRoutes[];

  explicit Gateway(MemoryStore& aStore);

  net::HttpResponse Handle(const net::HttpRequest& aRequest);
  net::HttpResponse HandleCall(const net::HttpRequest& aRequest, Call aCall);
  void HandleWatch(const net::HttpRequest& aRequest,
                   net::HttpStreamWriter& aWriter);
  absl::Status RunWatch(const net::HttpRequest& aRequest,
                        net::HttpStreamWriter& aWriter);

  Reply Range(const Json::Value& aRequest);
  Reply Txn(const Json::Value& aRequest);
  Reply Put(const Json::Value& aRequest);
  Reply Grant(const Json::Value& aRequest);
  Reply KeepAlive(const Json::Value& aRequest);
  Reply Revoke(const Json::Value& aRequest);
  Reply SetFaults(const Json::Value& aRequest);

  MemoryStore& mStore;
  std::atomic<std::uint64_t> mMalformed = 0;
  std::unique_ptr<net::HttpServer> mServer;
};

} // namespace foxtailbarrow
