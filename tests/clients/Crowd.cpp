#include "tests/clients/Crowd.h"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace foxtailbarrow::clients {

namespace {

constexpr int kMaxConnects = 3;
constexpr std::size_t kBlockBytes = 64UL * 1024;
constexpr int kPollMs = 20;
/// A crowd that has made no progress for this long is done.
constexpr std::chrono::milliseconds kStalled(700);

bool IsClosed(int aSocket)
{
  pollfd entry{ aSocket, POLLRDHUP, 0 };
  return ::poll(&entry, 1, 0) > 0 &&
         (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

} // namespace

Crowd::Crowd(Endpoint aPeer, CrowdInput aInput, std::size_t aConnections)
  : mPeer(std::move(aPeer))
  , mInput(std::move(aInput))
  , mClients(aConnections)
{
  while (!mInput.mFiller.empty() && mBlock.size() < kBlockBytes) {
    mBlock += mInput.mFiller;
  }
}

Crowd::~Crowd()
{
  for (const Client& client : mClients) {
    if (client.mSocket >= 0) {
      ::close(client.mSocket);
    }
  }
}

std::size_t Crowd::Total() const
{
  return mInput.mHead.size() + mInput.mBytes;
}

std::string_view Crowd::Next(std::size_t aSent) const
{
  if (aSent < mInput.mHead.size()) {
    return std::string_view(mInput.mHead).substr(aSent);
  }
  const std::size_t filler = aSent - mInput.mHead.size();
  return std::string_view(mBlock)
    .substr(filler % mBlock.size())
    .substr(0, mInput.mBytes - filler);
}

void Crowd::Connect(Client& aClient) const
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(mPeer.mPort);
  address.sin_addr.s_addr = ::inet_addr(mPeer.mAddress.c_str());
  aClient.mSent = 0;
  ++aClient.mConnects;
  aClient.mSocket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (::connect(aClient.mSocket,
                reinterpret_cast<sockaddr*>(&address),
                sizeof(address)) != 0) {
    ::close(std::exchange(aClient.mSocket, -1));
  }
}

bool Crowd::Send(Client& aClient) const
{
  if (aClient.mSocket >= 0 && IsClosed(aClient.mSocket)) {
    ::close(std::exchange(aClient.mSocket, -1));
  }
  if (aClient.mSocket < 0) {
    if (aClient.mConnects >= kMaxConnects) {
      return false;
    }
    Connect(aClient);
    return true;
  }
  bool progress = false;
  // A limited number of blocks, so that all connections advance together.
  constexpr int kBlocks = 4;
  for (int i = 0; i < kBlocks && aClient.mSent < Total(); ++i) {
    const std::string_view part = Next(aClient.mSent);
    const ssize_t sent = ::send(
      aClient.mSocket, part.data(), part.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent <= 0) {
      return progress;
    }
    aClient.mSent += static_cast<std::size_t>(sent);
    progress = true;
  }
  return progress;
}

void Crowd::Press()
{
  using Clock = std::chrono::steady_clock;
  auto lastProgress = Clock::now();
  while (Clock::now() - lastProgress < kStalled) {
    bool progress = false;
    for (Client& client : mClients) {
      progress = Send(client) || progress;
    }
    if (progress) {
      lastProgress = Clock::now();
    } else {
      ::poll(nullptr, 0, kPollMs);
    }
  }
}

} // namespace foxtailbarrow::clients
