#include "Http.h"

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstdlib>
#include <cstring>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

using Clock = std::chrono::steady_clock;

sockaddr_in ToSocketAddress(const Address& aAddress)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aAddress.mPort));
  inet_pton(AF_INET, aAddress.mIp.c_str(), &address.sin_addr);
  return address;
}

int OpenListener(const Address& aAddress)
{
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = ToSocketAddress(aAddress);
  if (bind(socket,
           reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(socket, 128) != 0) {
    close(socket);
    return -1;
  }
  return socket;
}

bool SendAll(int aSocket, const std::string& aText)
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

/// Appends what arrives; false at the end, on an error or at the deadline.
bool ReadMore(int aSocket,
              std::string& aBuffer,
              std::optional<Clock::time_point> aDeadline)
{
  int timeout = -1;
  if (aDeadline) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      *aDeadline - Clock::now());
    timeout = static_cast<int>(std::max<long long>(0, left.count()));
  }
  pollfd entry{ aSocket, POLLIN, 0 };
  if (poll(&entry, 1, timeout) <= 0) {
    return false;
  }
  char bytes[16384];
  const ssize_t count = recv(aSocket, bytes, sizeof(bytes), 0);
  if (count <= 0) {
    return false;
  }
  aBuffer.append(bytes, static_cast<std::size_t>(count));
  return true;
}

std::string Lower(std::string aText)
{
  std::transform(aText.begin(), aText.end(), aText.begin(), [](char aByte) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(aByte)));
  });
  return aText;
}

/// Reads one message; `aFirst` gets its first line.
bool ReadMessage(int aSocket,
                 std::string& aBuffer,
                 std::string& aFirst,
                 std::map<std::string, std::string>& aHeaders,
                 std::string& aBody,
                 std::optional<Clock::time_point> aDeadline)
{
  std::size_t end = 0;
  while ((end = aBuffer.find("\r\n\r\n")) == std::string::npos) {
    if (!ReadMore(aSocket, aBuffer, aDeadline)) {
      return false;
    }
  }
  const std::string head = aBuffer.substr(0, end);
  aBuffer.erase(0, end + 4);
  std::size_t at = head.find("\r\n");
  aFirst = head.substr(0, at);
  while (at != std::string::npos && at < head.size()) {
    const std::size_t begin = at + 2;
    at = head.find("\r\n", begin);
    const std::string line = head.substr(begin, at - begin);
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      aHeaders[Lower(line.substr(0, colon))] =
        value == std::string::npos ? std::string() : line.substr(value);
    }
  }
  const auto length = aHeaders.find("content-length");
  const std::size_t size =
    length == aHeaders.end() ? 0 : std::strtoul(length->second.c_str(), {}, 10);
  while (aBuffer.size() < size) {
    if (!ReadMore(aSocket, aBuffer, aDeadline)) {
      return false;
    }
  }
  aBody = aBuffer.substr(0, size);
  aBuffer.erase(0, size);
  return true;
}

void SetNoDelay(int aSocket)
{
  const int on = 1;
  setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

} // namespace

std::string Request::Query(const std::string& aName) const
{
  const std::size_t begin = mTarget.find('?');
  if (begin == std::string::npos) {
    return {};
  }
  std::string rest = mTarget.substr(begin + 1) + "&";
  std::size_t at = 0;
  while (at < rest.size()) {
    const std::size_t end = rest.find('&', at);
    const std::string pair = rest.substr(at, end - at);
    at = end + 1;
    const std::size_t equals = pair.find('=');
    if (pair.substr(0, equals) != aName || equals == std::string::npos) {
      continue;
    }
    std::string value;
    for (std::size_t i = equals + 1; i < pair.size(); ++i) {
      if (pair[i] == '%' && i + 2 < pair.size()) {
        value.push_back(static_cast<char>(
          std::strtol(pair.substr(i + 1, 2).c_str(), nullptr, 16)));
        i += 2;
      } else {
        value.push_back(pair[i]);
      }
    }
    return value;
  }
  return {};
}

HttpServer::HttpServer(const Address& aListen, Handler aHandler)
  : mState(std::make_shared<State>())
{
  mState->mHandler = std::move(aHandler);
  mSocket = OpenListener(aListen);
  if (mSocket < 0) {
    return;
  }
  mAcceptor = std::thread([this, state = mState, listener = mSocket.load()] {
    while (!state->mStopped) {
      const int socket = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket < 0) {
        break;
      }
      {
        const std::lock_guard lock(state->mMutex);
        if (state->mStopped) {
          close(socket);
          break;
        }
        state->mOpen.insert(socket);
      }
      std::thread([state, socket] { Serve(state, socket); }).detach();
    }
  });
}

HttpServer::~HttpServer()
{
  Stop();
}

void HttpServer::Stop()
{
  if (mState->mStopped.exchange(true)) {
    return;
  }
  const int listener = mSocket.exchange(-1);
  if (listener >= 0) {
    shutdown(listener, SHUT_RDWR);
    mAcceptor.join();
    close(listener);
  }
  const std::lock_guard lock(mState->mMutex);
  for (const int socket : mState->mOpen) {
    const linger reset{ 1, 0 };
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    shutdown(socket, SHUT_RDWR);
  }
}

void HttpServer::Serve(const std::shared_ptr<State>& aState, int aSocket)
{
  SetNoDelay(aSocket);
  std::string buffer;
  while (!aState->mStopped) {
    Request request;
    std::string first;
    if (!ReadMessage(
          aSocket, buffer, first, request.mHeaders, request.mBody, {})) {
      break;
    }
    const std::size_t space = first.find(' ');
    const std::size_t second = first.find(' ', space + 1);
    request.mMethod = first.substr(0, space);
    request.mTarget = first.substr(space + 1, second - space - 1);
    const Response response = aState->mHandler(request);
    if (response.mStatus == 0 || aState->mStopped) {
      break;
    }
    std::string text =
      "HTTP/1.1 " + std::to_string(response.mStatus) + " -\r\n";
    for (const auto& [name, value] : response.mHeaders) {
      text += name + ": " + value + "\r\n";
    }
    text += "Content-Type: application/json\r\nContent-Length: " +
            std::to_string(response.mBody.size()) + "\r\n\r\n" + response.mBody;
    if (!SendAll(aSocket, text)) {
      break;
    }
  }
  const std::lock_guard lock(aState->mMutex);
  aState->mOpen.erase(aSocket);
  close(aSocket);
}

std::optional<Response> Call(const std::string& aFrom,
                             const Address& aTo,
                             const std::string& aMethod,
                             const std::string& aTarget,
                             const std::map<std::string, std::string>& aHeaders,
                             const std::string& aBody,
                             int aTimeoutMs)
{
  const auto deadline = Clock::now() + std::chrono::milliseconds(aTimeoutMs);
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  SetNoDelay(socket);
  const sockaddr_in from = ToSocketAddress({ aFrom, 0 });
  bind(socket, reinterpret_cast<const sockaddr*>(&from), sizeof(from));
  const sockaddr_in to = ToSocketAddress(aTo);
  std::optional<Response> result;
  std::string text = aMethod + " " + aTarget + " HTTP/1.1\r\n";
  for (const auto& [name, value] : aHeaders) {
    text += name + ": " + value + "\r\n";
  }
  if (!aHeaders.contains("Host")) {
    text += "Host: " + aTo.Text() + "\r\n";
  }
  if (!aBody.empty()) {
    text += "Content-Type: application/json\r\n";
  }
  text += "Content-Length: " + std::to_string(aBody.size()) +
          "\r\nConnection: close\r\n\r\n" + aBody;
  // Loopback connections are accepted or refused at once.
  if (connect(socket, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) ==
        0 &&
      SendAll(socket, text)) {
    std::string buffer;
    std::string first;
    Response response;
    if (ReadMessage(
          socket, buffer, first, response.mHeaders, response.mBody, deadline)) {
      response.mStatus = std::atoi(first.substr(first.find(' ') + 1).c_str());
      result = response;
    }
  }
  close(socket);
  return result;
}

bool IsFree(const Address& aAddress)
{
  const int socket = OpenListener(aAddress);
  if (socket >= 0) {
    close(socket);
  }
  return socket >= 0;
}

} // namespace review
