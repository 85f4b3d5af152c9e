#include "tests/clients/EndlessServer.h"

#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <gtest/gtest.h>

namespace foxtailbarrow::clients {

namespace {

constexpr std::size_t kBlockBytes = 64UL * 1024;
constexpr int kPollMs = 100;
constexpr int kStalledMs = 500;

bool IsReady(int aSocket, short aEvents, int aTimeoutMs)
{
  pollfd entry{ aSocket, aEvents, 0 };
  return ::poll(&entry, 1, aTimeoutMs) > 0;
}

bool SendAll(int aSocket, std::string_view aBytes)
{
  while (!aBytes.empty() && IsReady(aSocket, POLLOUT, kStalledMs)) {
    const ssize_t sent = ::send(
      aSocket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent <= 0) {
      return false;
    }
    aBytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return aBytes.empty();
}

} // namespace

EndlessServer::EndlessServer(const Endpoint& aEndpoint,
                             std::string aHead,
                             std::string aFiller,
                             std::size_t aTotalBytes)
  : mHead(std::move(aHead))
  , mLeft(aTotalBytes)
  , mListener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
  while (mBlock.size() < kBlockBytes) {
    mBlock += aFiller;
  }
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aEndpoint.mPort);
  address.sin_addr.s_addr = ::inet_addr(aEndpoint.mAddress.c_str());
  const int on = 1;
  ::setsockopt(mListener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  EXPECT_EQ(
    0,
    ::bind(mListener, reinterpret_cast<sockaddr*>(&address), sizeof(address)));
  constexpr int kBacklog = 64;
  ::listen(mListener, kBacklog);
  mThread = std::thread([this] { Run(); });
}

EndlessServer::~EndlessServer()
{
  mStopping.store(true);
  mThread.join();
  ::close(mListener);
}

void EndlessServer::Run()
{
  while (!mStopping.load()) {
    if (!IsReady(mListener, POLLIN, kPollMs)) {
      continue;
    }
    const int socket = ::accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC);
    Answer(socket);
    ::close(socket);
  }
}

void EndlessServer::Answer(int aSocket)
{
  char request[4096];
  if (!IsReady(aSocket, POLLIN, kStalledMs) ||
      ::recv(aSocket, request, sizeof(request), 0) <= 0) {
    return;
  }
  ++mAnswers;
  bool more = SendAll(aSocket, mHead);
  while (more && mLeft >= mBlock.size() && !mStopping.load()) {
    more = SendAll(aSocket, mBlock);
    mLeft -= mBlock.size();
  }
}

} // namespace foxtailbarrow::clients
