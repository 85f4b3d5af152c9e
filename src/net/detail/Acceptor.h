#pragma once

#include <functional>

#include "absl/status/statusor.h"

#include "foxtailbarrow/Endpoint.h"
#include "src/net/detail/Asio.h"

namespace foxtailbarrow::net::detail {

/// Listening socket of one thread.
class Acceptor
{
public:
  explicit Acceptor(boost::asio::io_context& aIo)
    : mAcceptor(aIo)
  {
  }

  /// Starts listening; returns the endpoint with the port that the system
  /// selected.
  absl::StatusOr<Endpoint> Listen(const Endpoint& aEndpoint);

  /// Passes each accepted, non-blocking socket to `aOnSocket`, which takes
  /// ownership, until Stop(). Then accepts the pending connections and closes.
  /// Runs in a fiber of the thread.
  void Run(const std::function<void(int)>& aOnSocket);

  /// Ends Run(). Must be called on the thread.
  void Stop();

private:
  void AcceptPending(const std::function<void(int)>& aOnSocket);

  TcpAcceptor mAcceptor;
  bool mStopping = false;
};

} // namespace foxtailbarrow::net::detail
