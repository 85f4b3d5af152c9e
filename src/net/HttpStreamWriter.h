#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <string_view>

namespace foxtailbarrow::net {

namespace detail {
class Connection;
}

/// Writes a streamed (chunked) response of newline-terminated lines. Used by
/// the handler in the connection's fiber.
class HttpStreamWriter
{
public:
  /// Only for HttpServer. `aEnding` returns whether the server drains or stops.
  HttpStreamWriter(detail::Connection& aConnection,
                   std::chrono::microseconds aTimeout,
                   std::function<bool()> aEnding);

  /// Writes one line and its newline. Returns false, and does so from then on,
  /// when the peer has closed, accepts no data for the idle timeout, or the
  /// server drains. The handler must then return.
  bool WriteLine(std::string_view aLine);

  /// True when the peer has closed or the server drains. Does not block; meant
  /// for handlers with long pauses between lines.
  bool IsClosed();

private:
  detail::Connection& mConnection;
  std::chrono::microseconds mTimeout;
  std::function<bool()> mEnding;
  std::string mChunk;
  bool mClosed = false;
};

} // namespace foxtailbarrow::net
