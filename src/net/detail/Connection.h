#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "src/net/detail/Asio.h"
#include "src/net/detail/Await.h"

namespace foxtailbarrow::net::detail {

/// TCP connection used by one fiber of one thread, with a read buffer. Every
/// wait ends at a deadline.
class Connection
{
public:
  using TimePoint = AwaitState::TimePoint;

  explicit Connection(boost::asio::io_context& aIo)
    : mSocket(aIo)
  {
  }
  explicit Connection(TcpSocket aSocket)
    : mSocket(std::move(aSocket))
  {
  }

  TcpSocket& Socket() { return mSocket; }

  /// Sets non-blocking mode and TCP_NODELAY on an open socket.
  ErrorCode Prepare();

  ErrorCode Connect(const boost::asio::ip::tcp::endpoint& aPeer,
                    TimePoint aDeadline);

  /// Appends at least one byte to Buffered(). Errors: boost::asio::error::eof,
  /// timed_out at the deadline, or that of the socket.
  ErrorCode Read(TimePoint aDeadline);

  /// Bytes read and not yet consumed.
  std::string_view Buffered() const;
  void Consume(std::size_t aBytes);

  /// Writes both parts whole. `aWritten` counts the bytes that the kernel
  /// took, also on an error.
  ErrorCode Write(std::string_view aHead,
                  std::string_view aBody,
                  TimePoint aDeadline,
                  std::size_t& aWritten);

  /// Text to build a head in, kept between messages to save allocations.
  std::string& Scratch() { return mScratch; }

  /// True when the peer has closed, broken or sent bytes nobody waits for. Does
  /// not wait.
  bool Stale();

  /// Ends the fiber's current wait with operation_aborted; from this thread.
  void Cancel();

private:
  ErrorCode WaitWritable(TimePoint aDeadline);

  TcpSocket mSocket;
  std::string mScratch;
  std::vector<char> mBuffer;
  std::size_t mBegin = 0;
  std::size_t mEnd = 0;
};

} // namespace foxtailbarrow::net::detail
