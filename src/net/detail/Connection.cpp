#include "src/net/detail/Connection.h"

#include <array>
#include <cerrno>
#include <utility>

#include <sys/socket.h>
#include <sys/uio.h>

namespace foxtailbarrow::net::detail {

namespace {

constexpr std::size_t kReadBytes = 4UL * 1024;

ErrorCode LastError()
{
  return { errno, boost::system::system_category() };
}

/// One non-blocking gather write. Returns the number of bytes written; 0
/// without an error if the socket's buffer is full.
std::size_t SendSome(int aSocket,
                     std::string_view aHead,
                     std::string_view aBody,
                     ErrorCode& aError)
{
  std::array<iovec, 2> parts{ {
    { const_cast<char*>(aHead.data()), aHead.size() },
    { const_cast<char*>(aBody.data()), aBody.size() },
  } };
  msghdr message{};
  message.msg_iov = parts.data();
  message.msg_iovlen = parts.size();
  for (;;) {
    const ssize_t sent =
      ::sendmsg(aSocket, &message, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent >= 0) {
      return static_cast<std::size_t>(sent);
    }
    if (errno == EAGAIN || errno == EWOULDBLOCK) {
      return 0;
    }
    if (errno != EINTR) {
      aError = LastError();
      return 0;
    }
  }
}

void RemovePrefix(std::string_view& aHead,
                  std::string_view& aBody,
                  std::size_t aBytes)
{
  const std::size_t fromHead = std::min(aBytes, aHead.size());
  aHead.remove_prefix(fromHead);
  aBody.remove_prefix(aBytes - fromHead);
}

} // namespace

ErrorCode Connection::Prepare()
{
  ErrorCode error;
  mSocket.non_blocking(true, error);
  if (!error) {
    mSocket.set_option(boost::asio::ip::tcp::no_delay(true), error);
  }
  return error;
}

ErrorCode Connection::Connect(const boost::asio::ip::tcp::endpoint& aPeer,
                              TimePoint aDeadline)
{
  ErrorCode error;
  mSocket.open(aPeer.protocol(), error);
  if (error) {
    return error;
  }
  AwaitState state;
  mSocket.async_connect(aPeer, AwaitHandler(state));
  if (!state.WaitUntil(aDeadline, [this] { Cancel(); })) {
    return boost::asio::error::timed_out;
  }
  return state.Error() ? state.Error() : Prepare();
}

ErrorCode Connection::Read(TimePoint aDeadline, std::size_t aMaxBuffered)
{
  // Not into mBuffer, which may be released meanwhile.
  std::array<char, kReadBytes> input;
  const std::size_t space =
    std::min(input.size(), aMaxBuffered - Buffered().size());
  AwaitState state;
  mSocket.async_read_some(boost::asio::buffer(input.data(), space),
                          AwaitHandler(state));
  if (!state.WaitUntil(aDeadline, [this] { Cancel(); })) {
    return boost::asio::error::timed_out;
  }
  mBuffer.erase(0, std::exchange(mBegin, 0));
  mBuffer.append(input.data(), state.Bytes());
  return state.Error();
}

std::string_view Connection::Buffered() const
{
  return std::string_view(mBuffer).substr(mBegin);
}

void Connection::Consume(std::size_t aBytes)
{
  mBegin += aBytes;
}

void Connection::ReleaseBuffer()
{
  std::string().swap(mBuffer);
  mBegin = 0;
}

ErrorCode Connection::WaitWritable(TimePoint aDeadline)
{
  AwaitState state;
  mSocket.async_wait(TcpSocket::wait_write, AwaitHandler(state));
  if (!state.WaitUntil(aDeadline, [this] { Cancel(); })) {
    return boost::asio::error::timed_out;
  }
  return state.Error();
}

ErrorCode Connection::Write(std::string_view aHead,
                            std::string_view aBody,
                            TimePoint aDeadline,
                            std::size_t& aWritten)
{
  aWritten = 0;
  for (;;) {
    ErrorCode error;
    const std::size_t sent =
      SendSome(mSocket.native_handle(), aHead, aBody, error);
    if (error) {
      return error;
    }
    aWritten += sent;
    RemovePrefix(aHead, aBody, sent);
    if (aHead.empty() && aBody.empty()) {
      return {};
    }
    if (sent == 0) {
      error = WaitWritable(aDeadline);
    }
    if (error) {
      return error;
    }
  }
}

void Connection::TryWrite(std::string_view aBytes)
{
  ErrorCode ignored;
  SendSome(mSocket.native_handle(), aBytes, {}, ignored);
}

bool Connection::Stale()
{
  char byte = 0;
  const ssize_t count =
    ::recv(mSocket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return !(count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
}

void Connection::Cancel()
{
  ErrorCode ignored;
  mSocket.cancel(ignored);
}

} // namespace foxtailbarrow::net::detail
