#pragma once

#include <cstddef>
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

/// HTTP/1.1 client with a pool of idle connections for each thread. Callable
/// from any fiber of the runtime; suspends it.
///
/// Every error carries a Verdict: NotRun when no byte of the request was
/// written (refused, connect timeout), MayHaveRun afterwards (DeadlineExceeded,
/// Unavailable on a broken connection). An idle connection that the server has
/// closed meanwhile is recognised before use. A response that is cut short is
/// an error, never a short body.
class HttpClient
{
public:
  explicit HttpClient(FiberRuntime& aRuntime, HttpClientLimits aLimits = {});
  ~HttpClient();

  /// Sends the request and returns the whole response, or an error at
  /// `aTimeout` from now at the latest.
  absl::StatusOr<HttpResponse> Call(const Endpoint& aEndpoint,
                                    const HttpRequest& aRequest,
                                    Duration aTimeout);

  /// As Call(), but hands each line of a streamed (chunked) response body to
  /// `aOnLine` as it arrives, until it returns false (OK is returned) or the
  /// connection breaks. No overall timeout; `aIdleTimeout` bounds the silence.
  absl::Status Stream(const Endpoint& aEndpoint,
                      const HttpRequest& aRequest,
                      Duration aIdleTimeout,
                      const std::function<bool(std::string_view)>& aOnLine);

  struct Impl;

private:
  std::unique_ptr<Impl> mImpl;
};

} // namespace foxtailbarrow::net
