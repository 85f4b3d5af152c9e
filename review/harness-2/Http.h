#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

/// A small HTTP/1.1 client and server with blocking sockets, one thread per
/// connection. Loopback only.
namespace review {

struct Request
{
  std::string mMethod;
  std::string mTarget;
  std::map<std::string, std::string> mHeaders; ///< Names in lower case.
  std::string mBody;

  /// The target without its query.
  std::string Path() const { return mTarget.substr(0, mTarget.find('?')); }
  /// A decoded query parameter; empty when absent.
  std::string Query(const std::string& aName) const;
};

struct Response
{
  int mStatus = 200;
  std::string mBody = "{}";
  /// The connection stays open and nothing further is sent on it.
  bool mSilent = false;
};

class HttpServer
{
public:
  using Handler = std::function<Response(const Request&)>;

  HttpServer(std::uint16_t aPort, Handler aHandler);
  ~HttpServer();

  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

private:
  struct State;

  void Accept();

  std::shared_ptr<State> mState;
  int mSocket = -1;
  std::thread mThread;
};

/// Sends one request on a connection of its own. Returns nullopt when there is
/// no whole response within the timeout.
std::optional<Response> Call(std::uint16_t aPort,
                             const std::string& aMethod,
                             const std::string& aTarget,
                             const std::string& aHost,
                             const std::string& aBody,
                             int aTimeoutMs,
                             const std::string& aHeaders = "");

/// A port that was free a moment ago.
std::uint16_t FreePort();

} // namespace review
