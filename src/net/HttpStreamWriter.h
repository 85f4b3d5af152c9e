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
  /// Only for HttpServer. `aTimeout` is the server's idle timeout; `aEnding`
  /// returns whether the server drains or stops.
  HttpStreamWriter(detail::Connection& aConnection,
                   std::chrono::microseconds aTimeout,
                   std::function<bool()> aEnding);

  /// Writes one line and its newline. Returns false when the peer has closed,
  /// does not accept the whole line within the idle timeout, or the server
  /// drains or stops. All later calls return false too; the handler must then
  /// return.
  bool WriteLine(std::string_view aLine);

  /// True when the peer has closed, a write has failed, or the server drains or
  /// stops. Does not block; meant for handlers with long pauses between lines.
  bool IsClosed();

private:
  detail::Connection& mConnection;
  std::chrono::microseconds mTimeout;
  std::function<bool()> mEnding;
  std::string mChunk;
  bool mClosed = false;
};

} // namespace foxtailbarrow::net
