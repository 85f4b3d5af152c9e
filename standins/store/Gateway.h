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

/// Serves a MemoryStore with the API of etcd v3's JSON gateway. Also serves
/// POST /standin/faults, which injects faults, and GET /standin/counters; both
/// work during an outage. A malformed request gets a 400 response and changes
/// nothing. For tests and demonstrations only: a single process without
/// persistence.
class Gateway
{
public:
  /// `aRuntime` and `aStore` must outlive the gateway. Port 0 selects a free
  /// port.
  static absl::StatusOr<std::unique_ptr<Gateway>> Start(
    net::FiberRuntime& aRuntime,
    MemoryStore& aStore,
    const Endpoint& aListen);

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
