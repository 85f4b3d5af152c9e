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

  /// Evicts a connection if the thread has as many as it may. Returns false if
  /// each has a request in progress, so that a new one must be refused.
  static bool MakeRoom(const ServerState& aState, ServerThread& aThread);
  /// Connections above a limit that may be open to be refused.
  static std::size_t MaxRefused(std::size_t aLimit);

  /// The server drains: an idle connection adopts the drain deadline.
  void OnDrain();
  /// The server stops: waits end, and further reads and writes fail.
  void OnClose();

private:
  using TimePoint = Connection::TimePoint;

  /// In the order in which connections are evicted, except that one in
  /// progress never is, and one that responds only if its peer does not read.
  enum class Phase : std::uint8_t
  {
    Closing,    ///< Discards input after the last response.
    Responding, ///< Waits until the peer reads the response.
    Idle,       ///< Waits for a request.
    Receiving,  ///< Has a part of a request.
    InProgress, ///< The handler has the request.
  };

  /// What an eviction is to free.
  enum class Shortage
  {
    Memory, ///< For requests.
    Responses,
    Connections,
    RefusedConnections,
  };

  bool ServeOne();
  bool AwaitFirstByte();
  bool Receive(RequestParser& aParser, const HttpRequestLimits& aLimits);
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
  void SetResponseBytes(std::size_t aBytes);
  /// Evicts connections whose peers do not read while the responses of this
  /// thread take too much memory. No request is refused because of responses.
  void EvictUnreadResponses();
  /// As SetMessageBytes(), then evicts connections of this thread while all
  /// messages exceed their limit. Returns false if this one would be next.
  bool Reserve(std::size_t aBytes);
  /// True if this connection is to be evicted before the other one.
  bool GoesBefore(const ServerConnection& aOther) const;
  /// The connection of the thread that is evicted first; null if none frees
  /// what is short.
  static ServerConnection* NextVictim(const ServerThread& aThread,
                                      Shortage aShortage);
  bool IsEvictable(Shortage aShortage, TimePoint aNow) const;
  /// Ends the wait of this connection. Frees its memory at once, or for a
  /// shortage of connections its socket, too.
  void Evict(Shortage aShortage);
  void CloseNow();
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
  std::size_t mResponseBytes = 0;
  bool mEvicted = false;
};

} // namespace foxtailbarrow::net::detail
