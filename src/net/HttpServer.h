#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/statusor.h"

#include "foxtailbarrow/Endpoint.h"
#include "foxtailbarrow/Time.h"
#include "src/net/FiberRuntime.h"
#include "src/net/HttpMessage.h"
#include "src/net/HttpStreamWriter.h"

namespace foxtailbarrow::net {

struct HttpServerLimits
{
  std::size_t mMaxHeaderBytes = 16UL * 1024;
  std::size_t mMaxBodyBytes = 1024UL * 1024; ///< Larger: answered 413.
  /// Longest wait for a request, for the whole of one, and for a peer to take
  /// an answer.
  Duration mIdleTimeout = std::chrono::seconds(60);
  std::size_t mMaxConnections = 10'000; ///< Above: answered 503.
  /// How long Drain() still answers requests on idle connections, since one may
  /// be on its way.
  Duration mDrainGrace = std::chrono::seconds(1);
};

/// What a server has counted since its start.
struct HttpServerCounters
{
  std::uint64_t mAccepted = 0;        ///< Connections.
  std::uint64_t mRefused = 0;         ///< Connections above the limit.
  std::uint64_t mRequests = 0;        ///< Whole requests received.
  std::uint64_t mRejected = 0;        ///< Answered 400, 408, 413 or 431.
  std::uint64_t mHandlerFailures = 0; ///< Exceptions answered 500.
};

/// HTTP/1.1 server with keep-alive: one fiber a connection, one request of a
/// connection at a time. One acceptor hands connections to the runtime's
/// threads in turn. Malformed input is answered 400, an oversize body 413, an
/// oversize header 431, a request that takes too long 408, and the connection
/// closed. These answers say by kVerdictHeader that nothing ran. A handler that
/// throws is answered 500.
class HttpServer
{
public:
  /// Runs in the connection's fiber and may suspend it.
  using Handler = std::function<HttpResponse(HttpRequest&)>;
  /// Writes a streamed answer; the stream ends when it returns.
  using StreamHandler = std::function<void(HttpRequest&, HttpStreamWriter&)>;

  /// Listens on `aEndpoint`; port 0 lets the system choose. Requests whose
  /// target is `aStreamTarget` go to `aStream`, all others to `aHandler`.
  /// `aRuntime` must outlive the server.
  static absl::StatusOr<std::unique_ptr<HttpServer>> Start(
    FiberRuntime& aRuntime,
    const Endpoint& aEndpoint,
    Handler aHandler,
    HttpServerLimits aLimits = {},
    StreamHandler aStream = {},
    std::string aStreamTarget = {});

  /// Stops listening, closes every connection and waits a bounded time for
  /// handlers that still run.
  ~HttpServer();

  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Where it listens, with the port that the system chose.
  Endpoint ListeningEndpoint() const;

  /// Stops accepting; requests in progress finish and are answered with
  /// `Connection: close`; idle connections are closed after mDrainGrace;
  /// streams end at their next line. Returns at once; see
  /// RequestsInProgress().
  void Drain();

  /// Requests from their first byte until their answer is written; streams do
  /// not count.
  std::size_t RequestsInProgress() const;
  std::size_t Connections() const;
  HttpServerCounters Counters() const;

  struct Impl;

private:
  explicit HttpServer(std::shared_ptr<Impl> aImpl);
  std::shared_ptr<Impl> mImpl;
};

} // namespace foxtailbarrow::net
