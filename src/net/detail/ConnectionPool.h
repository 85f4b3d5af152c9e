#pragma once

#include <memory>
#include <vector>

#include "absl/container/flat_hash_map.h"

#include "foxtailbarrow/Endpoint.h"
#include "src/net/HttpClient.h"
#include "src/net/detail/Connection.h"

namespace foxtailbarrow::net::detail {

/// Idle client connections of one thread, by peer. The most recently used one
/// is reused first, so that surplus ones age and are closed.
class ConnectionPool
{
public:
  using TimePoint = Connection::TimePoint;

  /// Removes and returns an idle connection that the peer has not closed, or
  /// returns nullptr.
  std::unique_ptr<Connection> Take(const Endpoint& aEndpoint);

  /// Keeps a connection for reuse, or closes it above the limit. Periodically
  /// closes the connections that were idle for too long, including those to
  /// peers that are never called again.
  void Put(const Endpoint& aEndpoint,
           std::unique_ptr<Connection> aConnection,
           const HttpClientLimits& aLimits,
           TimePoint aNow);

  /// Closes all connections to one peer: after a failed call the others are
  /// probably broken too, and each would cost another call its timeout.
  void Drop(const Endpoint& aEndpoint) { mIdle.erase(aEndpoint); }

  void Clear() { mIdle.clear(); }

private:
  struct Idle
  {
    std::unique_ptr<Connection> mConnection;
    TimePoint mSince;
  };

  void CloseAged(TimePoint aNow, Duration aMaxIdleTime);

  absl::flat_hash_map<Endpoint, std::vector<Idle>> mIdle; ///< Oldest first.
  TimePoint mNextSweep;
};

} // namespace foxtailbarrow::net::detail
