#pragma once

#include <cstddef>
#include <cstdint>
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

  /// In the order in which connections are evicted, except that one in
  /// progress never is.
  enum class Phase : std::uint8_t
  {
    Closing,    ///< Discards input after the last response.
    Idle,       ///< Waits for a request.
    Receiving,  ///< Has a part of a request.
    Responding, ///< Waits until the peer reads the response.
    InProgress, ///< The handler has the request.
  };

  bool ServeOne();
  bool AwaitFirstByte();
  bool Receive(RequestParser& aParser);
  bool AnswerContinue(const RequestParser& aParser,
                      TimePoint aDeadline,
                      bool& aAnswered);
  HttpResponse CallHandler(HttpRequest& aRequest);
  bool Answer(const HttpRequest& aRequest,
              const HttpResponse& aResponse,
              bool aKeepAlive);
  void RunStream(HttpRequest& aRequest);
  void Reject(unsigned aStatus);
  void LingeringClose();
  bool Ending() const;
  /// Enters the phase and returns its deadline.
  TimePoint Enter(Phase aPhase);
  /// Sets the memory that the messages of this connection take.
  void SetMessageBytes(std::size_t aBytes);
  /// As SetMessageBytes(), then evicts connections of this thread while all
  /// messages exceed their limit. Returns false if this one would be next.
  bool Reserve(std::size_t aBytes);
  /// True if this connection is to be evicted before the other one.
  bool GoesBefore(const ServerConnection& aOther) const;
  /// The connection of this thread that is evicted first for memory; null if
  /// none frees any.
  ServerConnection* NextVictim() const;
  /// Frees the memory of this connection at once and ends its wait.
  void Evict();
  /// Frees the buffer, and the request if it is incomplete.
  void ReleaseMessage();

  std::shared_ptr<ServerState> mState;
  ServerThread& mThread;
  Connection mConnection;
  bool mRefuse;
  Phase mPhase = Phase::Idle;
  TimePoint mPhaseBegin;
  HttpRequest* mPartial = nullptr; ///< While Receiving.
  std::size_t mMessageBytes = 0;
  bool mEvicted = false;
};

} // namespace foxtailbarrow::net::detail
