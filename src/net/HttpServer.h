#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "absl/status/statusor.h"

#include "foxtailbarrow/Endpoint.h"
#include "foxtailbarrow/Time.h"
#include "src/net/FiberRuntime.h"
#include "src/net/HttpMessage.h"

namespace foxtailbarrow::net {

struct HttpServerLimits
{
  std::size_t mMaxHeaderBytes = 16 * 1024;
  std::size_t mMaxBodyBytes = 1024 * 1024; ///< Larger: answered 413.
  Duration mIdleTimeout = std::chrono::seconds(60);
  std::size_t mMaxConnections = 10'000;
};

/// HTTP/1.1 server with keep-alive: one fiber a connection, one request of a
/// connection at a time. Malformed input is answered 400, an oversize body 413,
/// an oversize header 431, and the connection closed.
class HttpServer
{
public:
  /// Runs in the connection's fiber and may suspend it.
  using Handler = std::function<HttpResponse(HttpRequest&)>;

  /// Listens on `aEndpoint`; port 0 lets the system choose.
  static absl::StatusOr<std::unique_ptr<HttpServer>> Start(
    FiberRuntime& aRuntime,
    const Endpoint& aEndpoint,
    Handler aHandler,
    HttpServerLimits aLimits = {});

  ~HttpServer(); ///< Stops listening and closes every connection.

  /// Where it listens, with the port that the system chose.
  Endpoint ListeningEndpoint() const;

  /// Stops accepting and closes idle connections; requests in progress finish
  /// and are answered with `Connection: close`. Returns at once; see
  /// RequestsInProgress().
  void Drain();

  std::size_t RequestsInProgress() const;
  std::size_t Connections() const;

  struct Impl;

private:
  explicit HttpServer(std::shared_ptr<Impl> aImpl);
  std::shared_ptr<Impl> mImpl;
};

} // namespace foxtailbarrow::net
