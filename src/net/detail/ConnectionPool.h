#pragma once

#include <memory>
#include <vector>

#include "absl/container/flat_hash_map.h"

#include "foxtailbarrow/Endpoint.h"
#include "src/net/detail/Connection.h"

namespace foxtailbarrow::net::detail {

/// Idle client connections of one thread, by peer; the last used goes first, so
/// that spare ones age and are closed by the peer.
class ConnectionPool
{
public:
  /// An idle connection that the peer has not closed, or nullptr.
  std::unique_ptr<Connection> Take(const Endpoint& aEndpoint);

  /// Keeps a connection for reuse, or closes it above `aMaxIdle`.
  void Put(const Endpoint& aEndpoint,
           std::unique_ptr<Connection> aConnection,
           std::size_t aMaxIdle);

  void Clear() { mIdle.clear(); }

private:
  absl::flat_hash_map<Endpoint, std::vector<std::unique_ptr<Connection>>> mIdle;
};

} // namespace foxtailbarrow::net::detail
