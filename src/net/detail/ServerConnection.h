#pragma once

#include <memory>
#include <string>

#include "src/net/detail/Connection.h"
#include "src/net/detail/MessageParser.h"
#include "src/net/detail/ServerState.h"

namespace foxtailbarrow::net::detail {

/// One connection of a server, run by one fiber: receives a request, calls the
/// handler, writes the answer, until either side closes.
class ServerConnection
{
public:
  /// `aRefuse`: the server has too many connections; the first request is
  /// answered 503.
  ServerConnection(std::shared_ptr<ServerState> aState,
                   ServerThread& aThread,
                   TcpSocket aSocket,
                   bool aRefuse);
  ~ServerConnection();

  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  void Run();

  /// The server drains: an idle connection takes up its new deadline.
  void OnDrain();
  /// The server ends: all waits end, further reads and writes fail.
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
