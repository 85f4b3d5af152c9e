#include "src/net/HttpServer.h"

#include <algorithm>
#include <utility>

#include <unistd.h>

#include <boost/fiber/operations.hpp>

#include "src/net/detail/Acceptor.h"
#include "src/net/detail/RuntimeImpl.h"
#include "src/net/detail/ServerConnection.h"

namespace foxtailbarrow::net {

using detail::ServerConnection;
using detail::ServerState;
using detail::ServerThread;

namespace {

constexpr unsigned kAcceptorThread = 0;
/// Connections that may be accepted and not yet opened.
constexpr std::size_t kMaxPending = 8;
constexpr std::chrono::milliseconds kEvictionPoll(1);
constexpr std::size_t kMostHeaderBytes = 1024UL * 1024;
constexpr std::chrono::seconds kCloseTimeout(10);
constexpr std::chrono::milliseconds kClosePollInterval(1);

HttpServerCounters CountersOf(const ServerState& aState)
{
  HttpServerCounters sum;
  sum.mConnections = aState.mConnections.load();
  sum.mAccepted = aState.mAccepted.load();
  sum.mRefused = aState.mRefused.load();
  for (const auto& thread : aState.mThreads) {
    sum.mRequests += thread->mRequests.load();
    sum.mRejected += thread->mRejected.load();
    sum.mEvictedForConnections += thread->mEvictedForConnections.load();
    sum.mEvictedForMemory += thread->mEvictedForMemory.load();
    sum.mHandlerFailures += thread->mHandlerFailures.load();
  }
  return sum;
}

} // namespace

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl>
{
  explicit Impl(FiberRuntime& aRuntime)
    : mRuntime(aRuntime)
    , mState(std::make_shared<ServerState>())
    , mAcceptor(Io(kAcceptorThread))
  {
    for (unsigned thread = 0; thread < aRuntime.Threads(); ++thread) {
      mState->mThreads.push_back(std::make_unique<ServerThread>());
    }
  }

  void SetRequestLimits(HttpRequestLimits aLimits)
  {
    constexpr std::size_t kHeaderPart = 4;
    constexpr std::size_t kBodyPart = 2;
    const std::size_t memory = mState->MaxMessageBytesOfThread();
    aLimits.mMaxHeaderBytes = std::min(
      { aLimits.mMaxHeaderBytes, memory / kHeaderPart, kMostHeaderBytes });
    aLimits.mMaxBodyBytes = std::min(aLimits.mMaxBodyBytes, memory / kBodyPart);
    mState->mRequestLimits.Publish(
      std::make_shared<const HttpRequestLimits>(aLimits));
  }

  boost::asio::io_context& Io(unsigned aThread)
  {
    return mRuntime.Internals().mThreads[aThread]->Io();
  }

  void StartAccepting()
  {
    mRuntime.SpawnOn(kAcceptorThread, [self = shared_from_this()] {
      self->mAcceptor.Run([&self](int aSocket) { self->OnSocket(aSocket); });
      self->mAccepting.store(false);
    });
  }

  void StopAccepting()
  {
    mRuntime.SpawnOn(kAcceptorThread,
                     [self = shared_from_this()] { self->mAcceptor.Stop(); });
  }

  void OnSocket(int aSocket)
  {
    AwaitEvictions();
    mState->mConnections.fetch_add(1);
    const unsigned thread = mNextThread++ % mRuntime.Threads();
    mRuntime.SpawnOn(thread, [self = shared_from_this(), aSocket, thread] {
      self->Serve(aSocket, thread);
    });
  }

  /// Connections that were accepted are opened, and evicted ones end, only when
  /// other fibers run.
  void AwaitEvictions()
  {
    const std::size_t limit = mState->mLimits.mMaxConnections;
    const std::size_t most =
      limit + 2 * ServerConnection::MaxRefused(limit) + kMaxPending;
    while (mState->mConnections.load() >= most && !mState->mClosing.load()) {
      boost::this_fiber::sleep_for(kEvictionPoll);
    }
  }

  void Serve(int aSocket, unsigned aThread)
  {
    detail::ErrorCode error;
    detail::TcpSocket socket(Io(aThread));
    socket.assign(boost::asio::ip::tcp::v4(), aSocket, error);
    if (error) {
      ::close(aSocket);
    } else {
      ServerThread& thread = *mState->mThreads[aThread];
      const bool refuse = !ServerConnection::MakeRoom(*mState, thread);
      (refuse ? mState->mRefused : mState->mAccepted).fetch_add(1);
      ServerConnection connection(mState, thread, std::move(socket), refuse);
      connection.Run();
    }
    mState->mConnections.fetch_sub(1);
  }

  /// Calls `aNotify` on each open connection, on the connection's thread.
  void NotifyConnections(void (ServerConnection::*aNotify)())
  {
    for (unsigned thread = 0; thread < mRuntime.Threads(); ++thread) {
      mRuntime.SpawnOn(thread, [state = mState, thread, aNotify] {
        for (ServerConnection* connection : state->mThreads[thread]->mOpen) {
          (connection->*aNotify)();
        }
      });
    }
  }

  void Close()
  {
    mState->mClosing.store(true);
    if (mRuntime.Internals().mStopped.load()) {
      return;
    }
    StopAccepting();
    const auto end = std::chrono::steady_clock::now() + kCloseTimeout;
    do {
      // Repeated, since accepted connections may not have been opened yet.
      NotifyConnections(&ServerConnection::OnClose);
      boost::this_fiber::sleep_for(kClosePollInterval);
    } while ((mAccepting.load() || mState->mConnections.load() > 0) &&
             std::chrono::steady_clock::now() < end);
  }

  FiberRuntime& mRuntime;
  std::shared_ptr<ServerState> mState;
  detail::Acceptor mAcceptor;
  std::atomic<bool> mAccepting{ true };
  Endpoint mEndpoint;
  unsigned mNextThread = 0;
};

absl::StatusOr<std::unique_ptr<HttpServer>> HttpServer::Start(
  FiberRuntime& aRuntime,
  const Endpoint& aEndpoint,
  Handler aHandler,
  HttpServerLimits aLimits,
  StreamHandler aStream,
  std::string aStreamTarget)
{
  auto impl = std::make_shared<Impl>(aRuntime);
  impl->mState->mHandler = std::move(aHandler);
  impl->mState->mLimits = aLimits;
  impl->SetRequestLimits(aLimits);
  impl->mState->mStream = std::move(aStream);
  impl->mState->mStreamTarget = std::move(aStreamTarget);
  absl::StatusOr<Endpoint> endpoint = impl->mAcceptor.Listen(aEndpoint);
  if (!endpoint.ok()) {
    return endpoint.status();
  }
  impl->mEndpoint = *std::move(endpoint);
  impl->StartAccepting();
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(impl)));
}

HttpServer::HttpServer(std::shared_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

HttpServer::~HttpServer()
{
  mImpl->Close();
}

Endpoint HttpServer::ListeningEndpoint() const
{
  return mImpl->mEndpoint;
}

void HttpServer::Drain()
{
  ServerState& state = *mImpl->mState;
  const auto end = std::chrono::steady_clock::now() + state.mLimits.mDrainGrace;
  state.mDrainEnd.store(end.time_since_epoch().count());
  state.mDraining.store(true);
  mImpl->StopAccepting();
  mImpl->NotifyConnections(&ServerConnection::OnDrain);
}

void HttpServer::SetRequestLimits(const HttpRequestLimits& aLimits)
{
  mImpl->SetRequestLimits(aLimits);
}

std::size_t HttpServer::RequestsInProgress() const
{
  std::size_t sum = 0;
  for (const auto& thread : mImpl->mState->mThreads) {
    sum += thread->mInProgress.load();
  }
  return sum;
}

std::size_t HttpServer::Connections() const
{
  return mImpl->mState->mConnections.load();
}

HttpServerCounters HttpServer::Counters() const
{
  return CountersOf(*mImpl->mState);
}

std::function<HttpServerCounters()> HttpServer::CounterReader() const
{
  return [state = mImpl->mState] { return CountersOf(*state); };
}

} // namespace foxtailbarrow::net
