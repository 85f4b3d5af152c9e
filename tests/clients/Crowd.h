#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "foxtailbarrow/Endpoint.h"

namespace foxtailbarrow::clients {

/// What each client of a crowd sends: the head once, then the filler repeatedly
/// up to the size. Sends nothing if all is empty.
struct CrowdInput
{
  std::string mHead;
  std::string mFiller;
  std::size_t mBytes = 0; ///< Of filler, for each connection.
};

/// Connections that send their input as fast as the peer takes it, read
/// nothing, and stay open. A connection that the peer closes is opened again,
/// up to twice.
class Crowd
{
public:
  Crowd(Endpoint aPeer, CrowdInput aInput, std::size_t aConnections);
  ~Crowd();

  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  /// Returns once each connection has sent all, was closed by the peer, or
  /// could not send for a while.
  void Press();

private:
  struct Client
  {
    int mSocket = -1;
    std::size_t mSent = 0;
    int mConnects = 0;
  };

  void Connect(Client& aClient) const;
  /// Returns whether any byte was sent or a connection was opened.
  bool Send(Client& aClient) const;
  std::string_view Next(std::size_t aSent) const;
  std::size_t Total() const;

  Endpoint mPeer;
  CrowdInput mInput;
  std::string mBlock; ///< Repeated filler.
  std::vector<Client> mClients;
};

} // namespace foxtailbarrow::clients
