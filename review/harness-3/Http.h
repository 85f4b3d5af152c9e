#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>

/// A small blocking HTTP/1.1 server and client for the stand-ins.
namespace review {

struct Address
{
  std::string mIp;
  int mPort = 0;

  std::string Text() const { return mIp + ":" + std::to_string(mPort); }
};

struct Request
{
  std::string mMethod;
  std::string mTarget;
  std::map<std::string, std::string> mHeaders; ///< Names in lower case.
  std::string mBody;

  std::string Path() const { return mTarget.substr(0, mTarget.find('?')); }
  /// A decoded query parameter; empty without one.
  std::string Query(const std::string& aName) const;
};

struct Response
{
  int mStatus = 0; ///< 0: the connection is closed without an answer.
  std::string mBody;
  std::map<std::string, std::string> mHeaders;
};

/// Serves each connection on a thread of its own.
class HttpServer
{
public:
  using Handler = std::function<Response(const Request&)>;

  HttpServer(const Address& aListen, Handler aHandler);
  ~HttpServer();

  /// Refuses connections and resets those that are open.
  void Stop();
  bool Listening() const { return mSocket >= 0; }

private:
  struct State
  {
    Handler mHandler;
    std::atomic<bool> mStopped{ false };
    std::mutex mMutex;
    std::set<int> mOpen;
  };

  static void Serve(const std::shared_ptr<State>& aState, int aSocket);

  std::shared_ptr<State> mState;
  std::atomic<int> mSocket{ -1 };
  std::thread mAcceptor;
};

/// One request on a new connection from `aFrom`; nullopt without an answer.
std::optional<Response> Call(const std::string& aFrom,
                             const Address& aTo,
                             const std::string& aMethod,
                             const std::string& aTarget,
                             const std::map<std::string, std::string>& aHeaders,
                             const std::string& aBody,
                             int aTimeoutMs);

/// True if the address can be listened on.
bool IsFree(const Address& aAddress);

} // namespace review
