#include "soak/LinkProxy.h"

#include <array>
#include <chrono>
#include <list>
#include <thread>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "absl/status/status.h"

namespace foxtailbarrow::soak {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using Error = boost::system::error_code;

constexpr std::size_t kBufferBytes = 16384;
constexpr std::chrono::milliseconds kStallPollInterval(20);
constexpr std::chrono::milliseconds kSlowDelay(150);

/// Runs the I/O of all links of the process on one thread.
class LinkThread
{
public:
  LinkThread()
    : mWork(mIo.get_executor())
    , mThread([this] { mIo.run(); })
  {
  }

  ~LinkThread()
  {
    mIo.stop();
    mThread.join();
  }

  asio::io_context& Io() { return mIo; }

private:
  asio::io_context mIo;
  asio::executor_work_guard<asio::io_context::executor_type> mWork;
  std::thread mThread;
};

asio::io_context& LinkIo()
{
  static LinkThread sThread;
  return sThread.Io();
}

tcp::endpoint ToTcp(const Endpoint& aEndpoint)
{
  return { asio::ip::make_address_v4(aEndpoint.mAddress), aEndpoint.mPort };
}

/// Closes the connection with a TCP reset instead of FIN.
void Reset(tcp::socket& aSocket)
{
  Error ignored;
  aSocket.set_option(asio::socket_base::linger(true, 0), ignored);
  aSocket.close(ignored);
}

} // namespace

/// One client connection and its connection to the server.
struct Session : std::enable_shared_from_this<Session>
{
  using State = std::atomic<LinkState>;

  Session(tcp::socket aClient, const State& aState)
    : mClient(std::move(aClient))
    , mServer(mClient.get_executor())
    , mState(aState)
  {
  }

  void Open(const tcp::endpoint& aServer)
  {
    mServer.async_connect(
      aServer, [self = shared_from_this()](const Error& aError) {
        if (aError) {
          self->ResetBoth();
          return;
        }
        Error ignored;
        self->mServer.set_option(tcp::no_delay(true), ignored);
        self->mClient.set_option(tcp::no_delay(true), ignored);
        self->Read(self->mUp);
        self->Read(self->mDown);
      });
  }

  void ResetBoth()
  {
    Reset(mClient);
    Reset(mServer);
    mClosed = true;
  }

  void StopForwarding() { mIsSilent = true; }
  bool IsClosed() const { return mClosed; }

private:
  struct Flow
  {
    tcp::socket& mFrom;
    tcp::socket& mTo;
    bool mFromServer;
    asio::steady_timer mTimer;
    std::array<char, kBufferBytes> mBuffer{};
  };

  bool IsStalled(const Flow& aFlow) const
  {
    const LinkState state = mState.load();
    return mIsSilent || state == LinkState::Silent ||
           (state == LinkState::OneWay && aFlow.mFromServer);
  }

  void Read(Flow& aFlow)
  {
    aFlow.mFrom.async_read_some(
      asio::buffer(aFlow.mBuffer),
      [self = shared_from_this(), &aFlow](const Error& aError,
                                          std::size_t aBytes) {
        self->Forward(aFlow, aBytes, static_cast<bool>(aError), false);
      });
  }

  /// Forwards the bytes read, or the end of the stream, as soon as the link's
  /// state allows it.
  void Forward(Flow& aFlow, std::size_t aBytes, bool aIsEnd, bool aDelayed)
  {
    if (mClosed) {
      return;
    }
    const bool slow = mState.load() == LinkState::Slow && !aDelayed;
    if (IsStalled(aFlow) || slow) {
      aFlow.mTimer.expires_after(slow ? kSlowDelay : kStallPollInterval);
      aFlow.mTimer.async_wait(
        [self = shared_from_this(), &aFlow, aBytes, aIsEnd](const Error&) {
          self->Forward(aFlow, aBytes, aIsEnd, true);
        });
      return;
    }
    if (aIsEnd) {
      // An orderly shutdown, so that bytes forwarded before still arrive.
      Error ignored;
      aFlow.mTo.shutdown(tcp::socket::shutdown_send, ignored);
      mClosed = std::exchange(mHalfClosed, true);
      return;
    }
    asio::async_write(
      aFlow.mTo,
      asio::buffer(aFlow.mBuffer.data(), aBytes),
      [self = shared_from_this(), &aFlow](const Error& aError, std::size_t) {
        if (aError) {
          self->ResetBoth();
        } else {
          self->Read(aFlow);
        }
      });
  }

  tcp::socket mClient;
  tcp::socket mServer;
  const State& mState;
  Flow mUp{ mClient, mServer, false, asio::steady_timer(LinkIo()) };
  Flow mDown{ mServer, mClient, true, asio::steady_timer(LinkIo()) };
  bool mIsSilent = false;
  bool mHalfClosed = false; ///< One side has shut down sending.
  bool mClosed = false;
};

struct LinkProxy::Impl : std::enable_shared_from_this<LinkProxy::Impl>
{
  explicit Impl(const Endpoint& aServer)
    : mAcceptor(LinkIo())
    , mServer(ToTcp(aServer))
  {
  }

  absl::Status Listen(const Endpoint& aListen)
  {
    Error error;
    const tcp::endpoint endpoint = ToTcp(aListen);
    mAcceptor.open(endpoint.protocol(), error);
    mAcceptor.set_option(tcp::acceptor::reuse_address(true), error);
    mAcceptor.bind(endpoint, error);
    if (!error) {
      mAcceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    return error ? absl::UnavailableError(error.message()) : absl::OkStatus();
  }

  void Accept()
  {
    mAcceptor.async_accept(
      [self = shared_from_this()](const Error& aError, tcp::socket aSocket) {
        if (aError) {
          return;
        }
        self->OnAccepted(std::move(aSocket));
        self->Accept();
      });
  }

  void OnAccepted(tcp::socket aSocket)
  {
    if (mState.load() == LinkState::Resets) {
      Reset(aSocket);
      return;
    }
    mSessions.remove_if(
      [](const auto& aSession) { return aSession->IsClosed(); });
    mSessions.push_back(std::make_shared<Session>(std::move(aSocket), mState));
    mSessions.back()->Open(mServer);
  }

  void Apply(LinkState aState)
  {
    mState = aState;
    for (const auto& session : mSessions) {
      if (aState == LinkState::Resets) {
        session->ResetBoth();
      } else if (aState == LinkState::OpenSilent) {
        session->StopForwarding();
      }
    }
  }

  tcp::acceptor mAcceptor;
  tcp::endpoint mServer;
  std::atomic<LinkState> mState{ LinkState::Passes };
  std::list<std::shared_ptr<Session>> mSessions;
};

LinkProxy::LinkProxy(std::shared_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

LinkProxy::~LinkProxy()
{
  asio::post(LinkIo(), [impl = mImpl] {
    Error ignored;
    impl->mAcceptor.close(ignored);
    impl->Apply(LinkState::Resets);
  });
}

absl::StatusOr<std::unique_ptr<LinkProxy>> LinkProxy::Start(
  const Endpoint& aListen,
  const Endpoint& aServer)
{
  auto impl = std::make_shared<Impl>(aServer);
  if (absl::Status status = impl->Listen(aListen); !status.ok()) {
    return status;
  }
  asio::post(LinkIo(), [impl] { impl->Accept(); });
  return std::unique_ptr<LinkProxy>(new LinkProxy(std::move(impl)));
}

void LinkProxy::Set(LinkState aState)
{
  asio::post(LinkIo(), [impl = mImpl, aState] { impl->Apply(aState); });
}

} // namespace foxtailbarrow::soak
