#pragma once

#include <memory>
#include <mutex>
#include <optional>
#include <vector>

#include "foxtailbarrow/Messages.h"
#include "src/core/contract/ConfigurationSource.h"
#include "src/net/FiberRuntime.h"
#include "src/net/HttpServer.h"
#include "src/net/Rpc.h"

namespace foxtailbarrow {

/// An entry that owns every shard: answers heartbeats with leases and one
/// contract, and acknowledges every ended task.
class FakeEntry
{
public:
  static constexpr Generation kGeneration = 9;

  FakeEntry(net::FiberRuntime& aRuntime, ShardId aShards);

  Endpoint ListeningEndpoint() const { return mServer->ListeningEndpoint(); }

  /// The newest heartbeat; nullopt before the first.
  std::optional<Heartbeat> Newest() const;

  /// The final states that were reported, once per key.
  std::vector<TaskStatus> Ends() const;

private:
  HeartbeatReply Answer(const Heartbeat& aHeartbeat);

  const ShardId mShards;
  mutable std::mutex mMutex; ///< Guards the members below.
  std::optional<Heartbeat> mNewest;
  std::vector<TaskStatus> mEnds;
  ConfigurationSource mContracts;
  net::RpcDispatcher mDispatcher;
  std::unique_ptr<net::HttpServer> mServer;
};

} // namespace foxtailbarrow
