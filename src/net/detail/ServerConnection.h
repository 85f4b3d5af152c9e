#pragma once

#include <memory>
#include <string>

#include "src/net/detail/Connection.h"
#include "src/net/detail/MessageParser.h"
#include "src/net/detail/ServerState.h"

namespace foxtailbarrow::net::detail {

/// One connection of a server, run by one fiber: receives requests, calls the
/// handler and writes the responses until either side closes.
class ServerConnection
{
public:
  /// With `aRefuse`, because the server has too many connections, the first
  /// request is answered with 503.
  ServerConnection(std::shared_ptr<ServerState> aState,
                   ServerThread& aThread,
                   TcpSocket aSocket,
                   bool aRefuse);
  ~ServerConnection();

  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  void Run();

  /// The server drains: an idle connection adopts the drain deadline.
  void OnDrain();
  /// The server stops: waits end, and further reads and writes fail.
  void OnClose();

private:
  using TimePoint = Connection::TimePoint;

  bool ServeOne();
  bool AwaitFirstByte();
  bool Receive(RequestParser& aParser);
  bool AnswerContinue(const RequestParser& aParser, bool& aAnswered);
  HttpResponse CallHandler(HttpRequest& aRequest);
  bool Answer(const HttpRequest& aRequest,
              const HttpResponse& aResponse,
              bool aKeepAlive);
  void RunStream(HttpRequest& aRequest);
  void Reject(unsigned aStatus);
  void LingeringClose();
  bool Ending() const;
  TimePoint Deadline() const;

  std::shared_ptr<ServerState> mState;
  ServerThread& mThread;
  Connection mConnection;
  bool mRefuse;
  bool mIdle = false;
};

} // namespace foxtailbarrow::net::detail
