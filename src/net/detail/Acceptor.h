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

  /// Listens; returns the endpoint with the port that the system chose.
  absl::StatusOr<Endpoint> Listen(const Endpoint& aEndpoint);

  /// Hands each accepted, non-blocking socket to `aOnSocket`, which owns it,
  /// until Stop(); then hands over those that still wait, and closes. Runs in a
  /// fiber of the thread.
  void Run(const std::function<void(int)>& aOnSocket);

  /// Ends Run(); on the thread.
  void Stop();

private:
  void AcceptPending(const std::function<void(int)>& aOnSocket);

  TcpAcceptor mAcceptor;
  bool mStopping = false;
};

} // namespace foxtailbarrow::net::detail
