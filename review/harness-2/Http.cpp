#include "Http.h"

#include <algorithm>
#include <cctype>
#include <chrono>
#include <random>
#include <set>
#include <stdexcept>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

using Clock = std::chrono::steady_clock;

sockaddr_in Loopback(std::uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

bool SendAll(int aSocket, const std::string& aText)
{
  std::size_t sent = 0;
  while (sent < aText.size()) {
    const ssize_t count =
      ::send(aSocket, aText.data() + sent, aText.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

std::string Lower(std::string aText)
{
  std::ranges::transform(aText, aText.begin(), [](unsigned char aCharacter) {
    return static_cast<char>(std::tolower(aCharacter));
  });
  return aText;
}

/// Reads more bytes. Returns false at the end, an error or the deadline.
bool ReadMore(int aSocket, std::string& aBuffer, Clock::time_point aDeadline)
{
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
    aDeadline - Clock::now());
  pollfd waiting{ aSocket, POLLIN, 0 };
  if (left.count() <= 0 ||
      ::poll(&waiting, 1, static_cast<int>(left.count())) <= 0) {
    return false;
  }
  char bytes[16384];
  const ssize_t count = ::recv(aSocket, bytes, sizeof(bytes), 0);
  if (count <= 0) {
    return false;
  }
  aBuffer.append(bytes, static_cast<std::size_t>(count));
  return true;
}

struct Message
{
  std::string mStart;
  std::map<std::string, std::string> mHeaders;
  std::string mBody;
};

/// Takes one message with a Content-Length from the socket.
std::optional<Message> ReadMessage(int aSocket,
                                   std::string& aBuffer,
                                   Clock::time_point aDeadline)
{
  std::size_t end = 0;
  while ((end = aBuffer.find("\r\n\r\n")) == std::string::npos) {
    if (!ReadMore(aSocket, aBuffer, aDeadline)) {
      return std::nullopt;
    }
  }
  Message message;
  std::size_t begin = 0;
  while (begin < end) {
    const std::size_t stop = std::min(aBuffer.find("\r\n", begin), end);
    const std::string line = aBuffer.substr(begin, stop - begin);
    if (begin == 0) {
      message.mStart = line;
    } else if (const auto colon = line.find(':'); colon != std::string::npos) {
      const auto value = line.find_first_not_of(' ', colon + 1);
      message.mHeaders[Lower(line.substr(0, colon))] =
        value == std::string::npos ? "" : line.substr(value);
    }
    begin = stop + 2;
  }
  const auto length = message.mHeaders.find("content-length");
  const std::size_t size =
    length == message.mHeaders.end() ? 0 : std::stoul(length->second);
  while (aBuffer.size() < end + 4 + size) {
    if (!ReadMore(aSocket, aBuffer, aDeadline)) {
      return std::nullopt;
    }
  }
  message.mBody = aBuffer.substr(end + 4, size);
  aBuffer.erase(0, end + 4 + size);
  return message;
}

} // namespace

std::string Request::Query(const std::string& aName) const
{
  std::size_t at = mTarget.find('?');
  while (at != std::string::npos) {
    const std::size_t next = mTarget.find('&', at + 1);
    const std::string part =
      mTarget.substr(at + 1, next == std::string::npos ? next : next - at - 1);
    if (part.starts_with(aName + "=")) {
      std::string decoded;
      for (std::size_t i = aName.size() + 1; i < part.size(); ++i) {
        if (part[i] == '%' && i + 2 < part.size()) {
          decoded.push_back(
            static_cast<char>(std::stoi(part.substr(i + 1, 2), nullptr, 16)));
          i += 2;
        } else {
          decoded.push_back(part[i]);
        }
      }
      return decoded;
    }
    at = next;
  }
  return "";
}

struct HttpServer::State
{
  Handler mHandler;
  std::mutex mMutex;
  std::set<int> mOpen;
  std::atomic<bool> mStopping{ false };
  std::atomic<int> mThreads{ 0 };

  void Serve(int aSocket)
  {
    std::string buffer;
    while (!mStopping) {
      const auto message =
        ReadMessage(aSocket, buffer, Clock::now() + std::chrono::hours(1));
      if (!message) {
        break;
      }
      Request request;
      const std::size_t first = message->mStart.find(' ');
      const std::size_t second = message->mStart.find(' ', first + 1);
      request.mMethod = message->mStart.substr(0, first);
      request.mTarget = message->mStart.substr(first + 1, second - first - 1);
      request.mHeaders = message->mHeaders;
      request.mBody = message->mBody;
      const Response response = mHandler(request);
      if (response.mSilent) {
        char byte = 0;
        while (::recv(aSocket, &byte, 1, 0) > 0) {
        }
        break;
      }
      if (!SendAll(
            aSocket,
            "HTTP/1.1 " + std::to_string(response.mStatus) +
              " -\r\nContent-Type: application/json\r\nContent-Length: " +
              std::to_string(response.mBody.size()) + "\r\n\r\n" +
              response.mBody)) {
        break;
      }
    }
    {
      const std::lock_guard lock(mMutex);
      mOpen.erase(aSocket);
    }
    ::close(aSocket);
    --mThreads;
  }
};

HttpServer::HttpServer(std::uint16_t aPort, Handler aHandler)
  : mState(std::make_shared<State>())
{
  mState->mHandler = std::move(aHandler);
  mSocket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(mSocket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = Loopback(aPort);
  if (::bind(mSocket,
             reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) != 0 ||
      ::listen(mSocket, 256) != 0) {
    throw std::runtime_error("cannot listen on port " + std::to_string(aPort));
  }
  mThread = std::thread([this] { Accept(); });
}

HttpServer::~HttpServer()
{
  mState->mStopping = true;
  ::shutdown(mSocket, SHUT_RDWR);
  mThread.join();
  ::close(mSocket);
  {
    const std::lock_guard lock(mState->mMutex);
    for (const int open : mState->mOpen) {
      ::shutdown(open, SHUT_RDWR);
    }
  }
  while (mState->mThreads > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

void HttpServer::Accept()
{
  while (!mState->mStopping) {
    const int socket = ::accept4(mSocket, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) {
      continue;
    }
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const std::lock_guard lock(mState->mMutex);
    mState->mOpen.insert(socket);
    ++mState->mThreads;
    std::thread([state = mState, socket] { state->Serve(socket); }).detach();
  }
}

std::optional<Response> Call(std::uint16_t aPort,
                             const std::string& aMethod,
                             const std::string& aTarget,
                             const std::string& aHost,
                             const std::string& aBody,
                             int aTimeoutMs,
                             const std::string& aHeaders)
{
  const auto deadline = Clock::now() + std::chrono::milliseconds(aTimeoutMs);
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(aPort);
  std::optional<Response> response;
  if (::connect(socket,
                reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) == 0 &&
      SendAll(socket,
              aMethod + " " + aTarget + " HTTP/1.1\r\nHost: " + aHost +
                "\r\nContent-Type: application/json\r\n" + aHeaders +
                "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
                aBody)) {
    std::string buffer;
    if (const auto message = ReadMessage(socket, buffer, deadline)) {
      response =
        Response{ std::stoi(message->mStart.substr(9, 3)), message->mBody };
    }
  }
  ::close(socket);
  return response;
}

std::uint16_t FreePort()
{
  // Below the range from which the system takes ports for outgoing connections.
  constexpr int kFirst = 12'000;
  constexpr int kLast = 30'000;
  static std::mt19937 sRandom{ std::random_device{}() };
  static std::set<std::uint16_t> sTaken;
  for (;;) {
    const auto port = static_cast<std::uint16_t>(
      std::uniform_int_distribution<int>(kFirst, kLast)(sRandom));
    if (!sTaken.insert(port).second) {
      continue;
    }
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = Loopback(port);
    const bool isFree = ::bind(socket,
                               reinterpret_cast<const sockaddr*>(&address),
                               sizeof(address)) == 0;
    ::close(socket);
    if (isFree) {
      return port;
    }
  }
}

} // namespace review
