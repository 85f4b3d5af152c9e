#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <thread>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Base.h"

/// Blocking HTTP/1.1 with one thread a connection.
namespace review {

struct Address
{
  std::string mHost;
  int mPort = 0;

  std::string Text() const { return mHost + ":" + std::to_string(mPort); }
};

struct HttpMessage
{
  std::string mMethod; ///< Of a request.
  std::string mTarget; ///< Of a request.
  int mStatus = 0;     ///< Of a response; 0 = the connection is closed.
  std::map<std::string, std::string> mHeaders; ///< Names in lower case.
  std::string mBody;
};

inline sockaddr_in SocketAddress(const Address& aAddress)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aAddress.mPort));
  inet_pton(AF_INET, aAddress.mHost.c_str(), &address.sin_addr);
  return address;
}

inline void SetNoDelay(int aSocket)
{
  const int on = 1;
  setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

inline bool SendAll(int aSocket, const std::string& aText)
{
  std::size_t sent = 0;
  while (sent < aText.size()) {
    const ssize_t count =
      send(aSocket, aText.data() + sent, aText.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

/// Reads one message; `aBuffer` keeps what follows it. Gives up at `aEnd`.
inline std::optional<HttpMessage> Receive(int aSocket,
                                          std::string& aBuffer,
                                          TimePoint aEnd)
{
  const auto more = [&] {
    const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(aEnd - Now());
    pollfd waiting{ aSocket, POLLIN, 0 };
    if (left.count() <= 0 ||
        poll(&waiting, 1, static_cast<int>(left.count())) <= 0) {
      return false;
    }
    char part[16384];
    const ssize_t count = recv(aSocket, part, sizeof part, 0);
    if (count <= 0) {
      return false;
    }
    aBuffer.append(part, static_cast<std::size_t>(count));
    return true;
  };
  std::size_t headEnd = 0;
  while ((headEnd = aBuffer.find("\r\n\r\n")) == std::string::npos) {
    if (!more()) {
      return std::nullopt;
    }
  }
  HttpMessage message;
  std::size_t line = aBuffer.find("\r\n");
  const std::string first = aBuffer.substr(0, line);
  const std::size_t space = first.find(' ');
  if (first.starts_with("HTTP/")) {
    message.mStatus = std::atoi(first.c_str() + space);
  } else {
    message.mMethod = first.substr(0, space);
    message.mTarget = first.substr(space + 1, first.rfind(' ') - space - 1);
  }
  while (line < headEnd) {
    const std::size_t next = aBuffer.find("\r\n", line + 2);
    const std::string field = aBuffer.substr(line + 2, next - line - 2);
    const std::size_t colon = field.find(':');
    std::string name = field.substr(0, colon);
    for (char& letter : name) {
      letter = static_cast<char>(std::tolower(letter));
    }
    const std::size_t value = field.find_first_not_of(' ', colon + 1);
    message.mHeaders[name] =
      value == std::string::npos ? "" : field.substr(value);
    line = next;
  }
  const auto length = message.mHeaders.find("content-length");
  const std::size_t bytes =
    length == message.mHeaders.end() ? 0 : std::stoul(length->second);
  while (aBuffer.size() < headEnd + 4 + bytes) {
    if (!more()) {
      return std::nullopt;
    }
  }
  message.mBody = aBuffer.substr(headEnd + 4, bytes);
  aBuffer.erase(0, headEnd + 4 + bytes);
  return message;
}

/// Serves until the process ends. While closed, refuses connections.
class HttpServer
{
public:
  using Handler = std::function<HttpMessage(const HttpMessage&)>;

  HttpServer(Address aAddress, Handler aHandler)
    : mAddress(std::move(aAddress))
    , mHandler(std::move(aHandler))
  {
  }

  bool Open()
  {
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = SocketAddress(mAddress);
    if (bind(listener,
             reinterpret_cast<const sockaddr*>(&address),
             sizeof address) != 0 ||
        listen(listener, 256) != 0) {
      close(listener);
      return false;
    }
    mListener = listener;
    std::thread([this, listener] { Accept(listener); }).detach();
    return true;
  }

  /// Closes the listener and resets all connections, as a crash does.
  void Close()
  {
    const std::lock_guard lock(mMutex);
    const int listener = mListener.exchange(-1);
    shutdown(listener, SHUT_RDWR);
    close(listener);
    for (const int connection : mConnections) {
      const linger reset{ 1, 0 };
      setsockopt(connection, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      shutdown(connection, SHUT_RDWR);
    }
  }

private:
  void Accept(int aListener)
  {
    while (mListener == aListener) {
      const int connection = accept4(aListener, nullptr, nullptr, SOCK_CLOEXEC);
      if (connection < 0) {
        continue;
      }
      std::thread([this, connection] { Serve(connection); }).detach();
    }
  }

  void Serve(int aConnection)
  {
    SetNoDelay(aConnection);
    {
      const std::lock_guard lock(mMutex);
      mConnections.insert(aConnection);
    }
    std::string buffer;
    while (const auto request =
             Receive(aConnection, buffer, Now() + std::chrono::hours(1))) {
      const HttpMessage response = mHandler(*request);
      if (response.mStatus == 0 ||
          !SendAll(aConnection,
                   "HTTP/1.1 " + std::to_string(response.mStatus) +
                     " x\r\nContent-Type: application/json\r\n"
                     "Content-Length: " +
                     std::to_string(response.mBody.size()) + "\r\n\r\n" +
                     response.mBody)) {
        break;
      }
    }
    const std::lock_guard lock(mMutex);
    mConnections.erase(aConnection);
    close(aConnection);
  }

  Address mAddress;
  Handler mHandler;
  std::atomic<int> mListener{ -1 };
  std::mutex mMutex;
  std::set<int> mConnections;
};

/// One call on a connection of its own. Without an answer the status is 0.
inline HttpMessage Call(const Address& aAddress,
                        const std::string& aMethod,
                        const std::string& aTarget,
                        const std::string& aHost,
                        const std::string& aBody,
                        std::chrono::milliseconds aTimeout)
{
  const int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const TimePoint end = Now() + aTimeout;
  const sockaddr_in address = SocketAddress(aAddress);
  HttpMessage response;
  if (connect(connection,
              reinterpret_cast<const sockaddr*>(&address),
              sizeof address) == 0) {
    SetNoDelay(connection);
    std::string buffer;
    const std::string text =
      aMethod + " " + aTarget + " HTTP/1.1\r\nHost: " + aHost +
      "\r\nContent-Type: application/json\r\nTimeout-Ms: " +
      std::to_string(aTimeout.count()) +
      "\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
      aBody;
    if (SendAll(connection, text)) {
      response = Receive(connection, buffer, end).value_or(HttpMessage{});
    }
  }
  close(connection);
  return response;
}

} // namespace review
