#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "absl/status/statusor.h"

#include "foxtailbarrow/Endpoint.h"
#include "foxtailbarrow/Time.h"
#include "src/net/FiberRuntime.h"
#include "src/net/HttpMessage.h"
#include "src/net/HttpStreamWriter.h"

namespace foxtailbarrow::net {

/// Limits that may change while the server runs.
struct HttpRequestLimits
{
  /// Also of the trailers, and of any other element that is parsed as a whole.
  /// Above: 431. At most 1 MiB and a quarter of one thread's part of
  /// mMaxMessageBytes.
  std::size_t mMaxHeaderBytes = 16UL * 1024;
  /// Above: 413. At most half of one thread's part of mMaxMessageBytes.
  std::size_t mMaxBodyBytes = 1024UL * 1024;
  /// From the first byte of a request to the end of its header. Above: 408.
  Duration mHeaderTimeout = std::chrono::seconds(60);
  /// How long a connection may wait for a request. Unset: mIdleTimeout.
  std::optional<Duration> mKeepAliveTimeout;
};

struct HttpServerLimits : HttpRequestLimits
{
  /// Limit on each of: waiting for a request, receiving it completely, and
  /// writing the response.
  Duration mIdleTimeout = std::chrono::seconds(60);
  /// Divided among the threads. Above: a connection without a request in
  /// progress is closed for the new one; if there is none, the new one gets
  /// 503. A tenth more connections are open for such responses.
  std::size_t mMaxConnections = 10'000;
  /// Limit on the requests of all connections together, in bytes, divided
  /// among the threads: what is buffered, and requests until they are answered.
  /// Above: the requests that have been incomplete for longest get 503. As much
  /// again is for responses; above, those that peers do not read are cut off.
  std::size_t mMaxMessageBytes = 64UL * 1024 * 1024;
  /// How long idle connections still accept requests after Drain(), since a
  /// request may already have been sent.
  Duration mDrainGrace = std::chrono::seconds(1);
};

/// Counts since the server's start, and the connections that are open now.
struct HttpServerCounters
{
  std::size_t mConnections = 0;
  std::uint64_t mAccepted = 0; ///< Connections.
  std::uint64_t mRefused = 0;  ///< Connections above the limit.
  std::uint64_t mRequests = 0; ///< Whole requests received.
  std::uint64_t mRejected = 0; ///< Responses 400, 408, 413 and 431.
  /// Connections that were ended to free memory for messages.
  std::uint64_t mEvictedForMemory = 0;
  /// Connections that were closed for new ones.
  std::uint64_t mEvictedForConnections = 0;
  std::uint64_t mHandlerFailures = 0; ///< Exceptions, responded to with 500.
};

/// HTTP/1.1 server with keep-alive: one fiber per connection, which handles its
/// requests in order. One acceptor assigns connections to the runtime's threads
/// round-robin. Malformed input is answered with 400, an oversize body with
/// 413, an oversize header with 431 and a request that takes too long with 408;
/// then the connection is closed. kVerdictHeader marks these responses as not
/// run. A handler that throws causes a 500.
class HttpServer
{
public:
  /// Runs in the connection's fiber and may suspend it.
  using Handler = std::function<HttpResponse(HttpRequest&)>;
  /// Writes a streamed response, which ends when the handler returns.
  using StreamHandler = std::function<void(HttpRequest&, HttpStreamWriter&)>;

  /// Listens on `aEndpoint`; port 0 selects a free port. Requests whose target
  /// is `aStreamTarget` go to `aStream`, all others to `aHandler`.
  /// `aRuntime` must outlive the server.
  static absl::StatusOr<std::unique_ptr<HttpServer>> Start(
    FiberRuntime& aRuntime,
    const Endpoint& aEndpoint,
    Handler aHandler,
    HttpServerLimits aLimits = {},
    StreamHandler aStream = {},
    std::string aStreamTarget = {});

  /// Stops listening, closes every connection and waits a limited time for
  /// running handlers.
  ~HttpServer();

  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// The local endpoint, with the port that the system selected.
  Endpoint ListeningEndpoint() const;

  /// Stops accepting. Requests in progress finish and are answered with
  /// `Connection: close`; idle connections are closed after mDrainGrace;
  /// streams end at their next line. Returns immediately; see
  /// RequestsInProgress().
  void Drain();

  /// Replaces the limits for requests that have not begun.
  void SetRequestLimits(const HttpRequestLimits& aLimits);

  /// Requests between their first byte and the end of their response, without
  /// streams.
  std::size_t RequestsInProgress() const;
  std::size_t Connections() const;
  HttpServerCounters Counters() const;
  /// Counters() for whoever may outlive the server.
  std::function<HttpServerCounters()> CounterReader() const;

  struct Impl;

private:
  explicit HttpServer(std::shared_ptr<Impl> aImpl);
  std::shared_ptr<Impl> mImpl;
};

} // namespace foxtailbarrow::net
