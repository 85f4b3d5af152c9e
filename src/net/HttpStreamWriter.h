#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <string_view>

namespace foxtailbarrow::net {

namespace detail {
class Connection;
}

/// Writes a streamed (chunked) answer of newline-ended lines. Used by one
/// handler in the connection's fiber.
class HttpStreamWriter
{
public:
  /// Used by HttpServer alone. `aEnding` says that the server drains or stops.
  HttpStreamWriter(detail::Connection& aConnection,
                   std::chrono::microseconds aTimeout,
                   std::function<bool()> aEnding);

  /// Writes one line and its newline. Returns false, now and from then on, when
  /// the peer is gone or takes nothing for the idle timeout, or the server
  /// drains: the handler is to return.
  bool WriteLine(std::string_view aLine);

  /// True when the peer has closed or the server drains. Does not wait; for a
  /// handler that waits long between lines.
  bool IsClosed();

private:
  detail::Connection& mConnection;
  std::chrono::microseconds mTimeout;
  std::function<bool()> mEnding;
  std::string mChunk;
  bool mClosed = false;
};

} // namespace foxtailbarrow::net
