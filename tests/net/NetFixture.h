#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <gtest/gtest.h>

#include "foxtailbarrow/Verdict.h"
#include "src/net/HttpClient.h"
#include "src/net/HttpServer.h"

namespace foxtailbarrow::net {

inline constexpr Duration kTestTimeout = std::chrono::seconds(20);

/// Blocking TCP socket that transfers raw bytes.
class RawSocket
{
public:
  explicit RawSocket(int aSocket)
    : mSocket(aSocket)
  {
  }
  explicit RawSocket(const Endpoint& aPeer)
    : mSocket(::socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in address = Address(aPeer.mPort);
    EXPECT_EQ(0,
              ::connect(mSocket,
                        reinterpret_cast<sockaddr*>(&address),
                        sizeof(address)));
  }
  ~RawSocket() { ::close(mSocket); }
  RawSocket(const RawSocket&) = delete;
  RawSocket& operator=(const RawSocket&) = delete;

  static sockaddr_in Address(std::uint16_t aPort)
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aPort);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
  }

  void Send(std::string_view aBytes) const
  {
    ::send(mSocket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
  }
  void EndSending() const { ::shutdown(mSocket, SHUT_WR); }

  /// Reads until `aText` has occurred `aTimes`, or the peer closes.
  std::string ReadUntil(std::string_view aText, int aTimes = 1) const
  {
    std::string all;
    char bytes[4096];
    while (Count(all, aText) < aTimes) {
      const ssize_t count = ::recv(mSocket, bytes, sizeof(bytes), 0);
      if (count <= 0) {
        break;
      }
      all.append(bytes, static_cast<std::size_t>(count));
    }
    return all;
  }
  std::string ReadAll() const { return ReadUntil("\xff\xfe never"); }

  static int Count(std::string_view aIn, std::string_view aText)
  {
    int count = 0;
    std::size_t position = 0;
    while ((position = aIn.find(aText, position)) != std::string_view::npos) {
      ++count;
      position += aText.size();
    }
    return count;
  }

private:
  int mSocket;
};

/// Listening socket that accepts on demand, to simulate misbehaving peers.
class RawListener
{
public:
  RawListener()
    : mSocket(::socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in address = RawSocket::Address(0);
    socklen_t length = sizeof(address);
    ::bind(mSocket, reinterpret_cast<sockaddr*>(&address), length);
    ::listen(mSocket, 16);
    ::getsockname(mSocket, reinterpret_cast<sockaddr*>(&address), &length);
    mPort = ntohs(address.sin_port);
  }
  ~RawListener() { ::close(mSocket); }
  RawListener(const RawListener&) = delete;
  RawListener& operator=(const RawListener&) = delete;

  Endpoint LocalEndpoint() const { return { "127.0.0.1", mPort }; }
  int Accept() const { return ::accept(mSocket, nullptr, nullptr); }

private:
  int mSocket;
  std::uint16_t mPort = 0;
};

/// A runtime with a client and, if a test starts it, a server.
class NetTest : public testing::Test
{
protected:
  Endpoint StartServer(HttpServer::Handler aHandler,
                       HttpServerLimits aLimits = {},
                       HttpServer::StreamHandler aStream = {})
  {
    auto server = HttpServer::Start(mRuntime,
                                    { "127.0.0.1", 0 },
                                    std::move(aHandler),
                                    aLimits,
                                    std::move(aStream),
                                    "/watch");
    EXPECT_TRUE(server.ok()) << server.status();
    mServer = *std::move(server);
    return mServer->ListeningEndpoint();
  }

  absl::StatusOr<HttpResponse> Call(const Endpoint& aEndpoint,
                                    const HttpRequest& aRequest,
                                    Duration aTimeout = kTestTimeout)
  {
    absl::StatusOr<HttpResponse> result;
    mRuntime.RunAndWait(
      [&] { result = mClient.Call(aEndpoint, aRequest, aTimeout); });
    return result;
  }

  /// Waits for a condition for up to kTestTimeout.
  static bool Eventually(const std::function<bool()>& aCondition)
  {
    const Instant end = MonotonicNow() + kTestTimeout;
    while (!aCondition() && MonotonicNow() < end) {
      ::usleep(1000);
    }
    return aCondition();
  }

  FiberRuntime mRuntime{ 2 };
  HttpClient mClient{ mRuntime };
  std::unique_ptr<HttpServer> mServer;
};

/// Responds with the request's method, target and body.
inline HttpResponse Echo(HttpRequest& aRequest)
{
  HttpResponse response;
  response.mBody =
    aRequest.mMethod + " " + aRequest.mTarget + " " + aRequest.mBody;
  return response;
}

} // namespace foxtailbarrow::net
