#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include "absl/status/statusor.h"

#include "foxtailbarrow/Endpoint.h"
#include "foxtailbarrow/Time.h"
#include "src/net/FiberRuntime.h"
#include "src/net/HttpMessage.h"

namespace foxtailbarrow::net {

struct HttpClientLimits
{
  std::size_t mMaxIdlePerEndpoint = 64; ///< Per thread.
  std::size_t mMaxBodyBytes = 4UL * 1024 * 1024;
  Duration mConnectTimeout = std::chrono::seconds(1);
  /// Idle connections are closed after about this time. Shorter than the
  /// servers' idle timeout, so that the client closes first.
  Duration mMaxIdleTime = std::chrono::seconds(30);
};

/// A request that is sent first on a connection, to find out which process
/// answers there. A connection leads to one process as long as it lasts.
struct ConnectionCheck
{
  /// A connection is checked once for each key. Not 0.
  std::uint64_t mKey = 0;
  HttpRequest mRequest;
  /// Returns an error if the connection must not be used.
  std::function<absl::Status(const HttpResponse&)> mAccept;
};

/// HTTP/1.1 client with a pool of idle connections per thread. May be called
/// from any fiber of the runtime, which it suspends.
///
/// Every error carries a Verdict: NotRun when no byte of the request was
/// written (refused, connect timeout), MayHaveRun afterwards (DeadlineExceeded,
/// Unavailable on a broken connection). An idle connection that the server has
/// closed is detected before reuse. A truncated response is an error, never a
/// short body.
class HttpClient
{
public:
  explicit HttpClient(FiberRuntime& aRuntime, HttpClientLimits aLimits = {});
  ~HttpClient();

  /// Sends the request and returns the complete response, or an error after
  /// `aTimeout` at the latest. With a check, sends the request only on a
  /// connection that has passed it; errors of the check are NotRun.
  absl::StatusOr<HttpResponse> Call(const Endpoint& aEndpoint,
                                    const HttpRequest& aRequest,
                                    Duration aTimeout,
                                    const ConnectionCheck* aCheck = nullptr);

  /// As Call(), but passes each line of a streamed (chunked) response body to
  /// `aOnLine` as it arrives. Returns OK once `aOnLine` returns false, or an
  /// error when the stream ends. No overall timeout; `aIdleTimeout` limits the
  /// time between reads.
  absl::Status Stream(const Endpoint& aEndpoint,
                      const HttpRequest& aRequest,
                      Duration aIdleTimeout,
                      const std::function<bool(std::string_view)>& aOnLine);

  struct Impl;

private:
  std::unique_ptr<Impl> mImpl;
};

} // namespace foxtailbarrow::net
