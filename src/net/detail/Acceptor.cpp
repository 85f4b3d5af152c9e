#include "src/net/detail/Acceptor.h"

#include <cerrno>
#include <chrono>

#include <fcntl.h>
#include <sys/socket.h>

#include <boost/asio/ip/address_v4.hpp>
#include <boost/fiber/operations.hpp>

#include "absl/strings/str_cat.h"

#include "src/net/detail/Await.h"

namespace foxtailbarrow::net::detail {

namespace {

constexpr int kBacklog = 4096;
/// Pause after a failed accept, such as one for lack of file descriptors.
constexpr std::chrono::milliseconds kFailurePause(10);

absl::Status ToStatus(const ErrorCode& aError, const Endpoint& aEndpoint)
{
  return absl::UnavailableError(absl::StrCat(
    "cannot listen on ", ToString(aEndpoint), ": ", aError.message()));
}

} // namespace

absl::StatusOr<Endpoint> Acceptor::Listen(const Endpoint& aEndpoint)
{
  using boost::asio::ip::tcp;

  ErrorCode error;
  const auto address =
    boost::asio::ip::make_address_v4(aEndpoint.mAddress, error);
  if (error) {
    return absl::InvalidArgumentError(
      absl::StrCat("not an IPv4 address: ", aEndpoint.mAddress));
  }
  mAcceptor.open(tcp::v4(), error);
  if (!error) {
    // Otherwise child processes, such as those of tests, keep the port in use.
    ::fcntl(mAcceptor.native_handle(), F_SETFD, FD_CLOEXEC);
    mAcceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    mAcceptor.bind(tcp::endpoint(address, aEndpoint.mPort), error);
  }
  if (!error) {
    mAcceptor.listen(kBacklog, error);
  }
  if (!error) {
    mAcceptor.non_blocking(true, error);
  }
  if (error) {
    return ToStatus(error, aEndpoint);
  }
  return Endpoint{ aEndpoint.mAddress, mAcceptor.local_endpoint().port() };
}

void Acceptor::Run(const std::function<void(int)>& aOnSocket)
{
  while (!mStopping) {
    AwaitState state;
    mAcceptor.async_wait(TcpAcceptor::wait_read, AwaitHandler(state));
    state.WaitUntil(AwaitState::TimePoint::max(), [] {});
    AcceptPending(aOnSocket);
  }
  ErrorCode ignored;
  mAcceptor.close(ignored);
}

void Acceptor::AcceptPending(const std::function<void(int)>& aOnSocket)
{
  for (;;) {
    const int socket = ::accept4(mAcceptor.native_handle(),
                                 nullptr,
                                 nullptr,
                                 SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (socket >= 0) {
      aOnSocket(socket);
      continue;
    }
    if (errno == EAGAIN || errno == EWOULDBLOCK) {
      return;
    }
    if (errno != EINTR && errno != ECONNABORTED) {
      boost::this_fiber::sleep_for(kFailurePause);
      return;
    }
  }
}

void Acceptor::Stop()
{
  mStopping = true;
  ErrorCode ignored;
  mAcceptor.cancel(ignored);
}

} // namespace foxtailbarrow::net::detail
