#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "src/net/detail/Asio.h"
#include "src/net/detail/Await.h"

namespace foxtailbarrow::net::detail {

/// TCP connection with a read buffer, used by one fiber. Every wait has a
/// deadline.
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

  /// Appends at least one byte to Buffered(), which must be shorter than
  /// `aMaxBuffered` and does not become longer. Errors:
  /// boost::asio::error::eof, timed_out at the deadline, or a socket error.
  ErrorCode Read(TimePoint aDeadline, std::size_t aMaxBuffered);

  /// Bytes read and not yet consumed.
  std::string_view Buffered() const;
  void Consume(std::size_t aBytes);
  /// Memory of the buffer.
  std::size_t BufferBytes() const { return mBuffer.capacity(); }
  /// Frees the buffer with what it holds. Allowed while Read() waits.
  void ReleaseBuffer();

  /// Writes both parts completely. `aWritten` is the number of bytes that the
  /// kernel accepted, also on an error.
  ErrorCode Write(std::string_view aHead,
                  std::string_view aBody,
                  TimePoint aDeadline,
                  std::size_t& aWritten);

  /// Writes what the kernel accepts at once. Allowed while another fiber waits.
  void TryWrite(std::string_view aBytes);

  /// Buffer for message heads, reused to avoid allocations.
  std::string& Scratch() { return mScratch; }

  /// Key of the newest check that a response on this connection passed; 0 =
  /// none. See ConnectionCheck.
  std::uint64_t PassedCheck() const { return mPassedCheck; }
  void SetPassedCheck(std::uint64_t aKey) { mPassedCheck = aKey; }

  /// True if the peer has closed, the connection is broken, or unexpected bytes
  /// have arrived. Does not block.
  bool Stale();

  /// Ends the fiber's current wait with operation_aborted. Must be called on
  /// the same thread.
  void Cancel();

private:
  ErrorCode WaitWritable(TimePoint aDeadline);

  TcpSocket mSocket;
  std::string mScratch;
  std::string mBuffer;
  std::size_t mBegin = 0; ///< Of the bytes that are not consumed.
  std::uint64_t mPassedCheck = 0;
};

} // namespace foxtailbarrow::net::detail
