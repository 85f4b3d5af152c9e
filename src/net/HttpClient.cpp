#include "src/net/HttpClient.h"

#include <atomic>
#include <utility>
#include <vector>

#include <boost/fiber/operations.hpp>

#include "foxtailbarrow/Verdict.h"
#include "src/net/detail/ClientExchange.h"
#include "src/net/detail/ConnectionPool.h"
#include "src/net/detail/RuntimeImpl.h"

namespace foxtailbarrow::net {

using detail::Connection;
using detail::ConnectionPool;
using detail::RuntimeThread;
using detail::TimePoint;

namespace {

constexpr std::chrono::milliseconds kClearPollInterval(1);

struct OpenedConnection
{
  std::unique_ptr<Connection> mConnection;
  bool mReused = false;
};

} // namespace

struct HttpClient::Impl
{
  Impl(FiberRuntime& aRuntime, HttpClientLimits aLimits)
    : mRuntime(aRuntime)
    , mLimits(aLimits)
    , mPools(aRuntime.Threads())
  {
  }

  /// An idle connection or a new one. Every error is NotRun.
  absl::StatusOr<OpenedConnection> Open(RuntimeThread& aThread,
                                        const Endpoint& aEndpoint,
                                        TimePoint aDeadline)
  {
    if (auto idle = mPools[aThread.Index()].Take(aEndpoint)) {
      return OpenedConnection{ std::move(idle), true };
    }
    auto opened = detail::OpenConnection(
      aThread.Io(), aEndpoint, aDeadline, mLimits.mConnectTimeout);
    if (!opened.ok()) {
      return opened.status();
    }
    return OpenedConnection{ *std::move(opened), false };
  }

  /// Sends the check's request unless the connection has passed it before.
  /// Every error is NotRun.
  absl::Status Check(Connection& aConnection,
                     const Endpoint& aEndpoint,
                     const ConnectionCheck& aCheck,
                     TimePoint aDeadline) const
  {
    if (aConnection.PassedCheck() == aCheck.mKey) {
      return absl::OkStatus();
    }
    absl::Status status =
      detail::WriteRequest(aConnection, aEndpoint, aCheck.mRequest, aDeadline);
    if (status.ok()) {
      const auto received = detail::ReadResponse(
        aConnection, false, mLimits.mMaxBodyBytes, aDeadline);
      status = !received.ok() ? received.status()
               : !received->mReusable
                 ? absl::UnavailableError("the connection was closed")
                 : aCheck.mAccept(received->mResponse);
    }
    if (!status.ok()) {
      return WithVerdict(std::move(status), Verdict::NotRun);
    }
    aConnection.SetPassedCheck(aCheck.mKey);
    return status;
  }

  /// Opens a connection, checks it and writes the request. Retries on another
  /// connection if a reused one breaks before the request is sent.
  absl::StatusOr<std::unique_ptr<Connection>> Send(
    RuntimeThread& aThread,
    const Endpoint& aEndpoint,
    const HttpRequest& aRequest,
    const ConnectionCheck* aCheck,
    TimePoint aDeadline)
  {
    for (;;) {
      auto opened = Open(aThread, aEndpoint, aDeadline);
      if (!opened.ok()) {
        return opened.status();
      }
      auto& [connection, reused] = *opened;
      absl::Status written;
      if (aCheck != nullptr) {
        written = Check(*connection, aEndpoint, *aCheck, aDeadline);
      }
      if (written.ok()) {
        written =
          detail::WriteRequest(*connection, aEndpoint, aRequest, aDeadline);
      }
      if (written.ok()) {
        return std::move(connection);
      }
      const bool broken =
        absl::IsUnavailable(written) && VerdictOf(written) == Verdict::NotRun;
      if (!reused || !broken) {
        return written;
      }
    }
  }

  FiberRuntime& mRuntime;
  HttpClientLimits mLimits;
  std::vector<ConnectionPool> mPools; ///< One per thread, confined to it.
};

namespace {

absl::Status NotOnRuntimeThread()
{
  return WithVerdict(
    absl::FailedPreconditionError("called outside the runtime's threads"),
    Verdict::NotRun);
}

} // namespace

HttpClient::HttpClient(FiberRuntime& aRuntime, HttpClientLimits aLimits)
  : mImpl(std::make_unique<Impl>(aRuntime, aLimits))
{
}

HttpClient::~HttpClient()
{
  FiberRuntime& runtime = mImpl->mRuntime;
  if (runtime.Internals().mStopped.load()) {
    return;
  }
  // Each socket must be closed on the thread that uses it.
  std::atomic<unsigned> left{ runtime.Threads() };
  for (unsigned thread = 0; thread < runtime.Threads(); ++thread) {
    runtime.SpawnOn(thread, [this, thread, &left] {
      mImpl->mPools[thread].Clear();
      left.fetch_sub(1);
    });
  }
  while (left.load() > 0) {
    boost::this_fiber::sleep_for(kClearPollInterval);
  }
}

absl::StatusOr<HttpResponse> HttpClient::Call(const Endpoint& aEndpoint,
                                              const HttpRequest& aRequest,
                                              Duration aTimeout,
                                              const ConnectionCheck* aCheck)
{
  RuntimeThread* thread = mImpl->mRuntime.Internals().Current();
  if (thread == nullptr) {
    return NotOnRuntimeThread();
  }
  if (aTimeout <= Duration::zero()) {
    return WithVerdict(absl::DeadlineExceededError("no time left to call"),
                       Verdict::NotRun);
  }
  const TimePoint deadline = std::chrono::steady_clock::now() + aTimeout;
  auto connection = mImpl->Send(*thread, aEndpoint, aRequest, aCheck, deadline);
  if (!connection.ok()) {
    return connection.status();
  }
  auto received = detail::ReadResponse(**connection,
                                       aRequest.mMethod == "HEAD",
                                       mImpl->mLimits.mMaxBodyBytes,
                                       deadline);
  if (!received.ok()) {
    mImpl->mPools[thread->Index()].Drop(aEndpoint);
    return received.status();
  }
  if (received->mReusable) {
    mImpl->mPools[thread->Index()].Put(aEndpoint,
                                       *std::move(connection),
                                       mImpl->mLimits,
                                       std::chrono::steady_clock::now());
  }
  return std::move(received->mResponse);
}

absl::Status HttpClient::Stream(
  const Endpoint& aEndpoint,
  const HttpRequest& aRequest,
  Duration aIdleTimeout,
  const std::function<bool(std::string_view)>& aOnLine)
{
  RuntimeThread* thread = mImpl->mRuntime.Internals().Current();
  if (thread == nullptr) {
    return NotOnRuntimeThread();
  }
  const TimePoint deadline = std::chrono::steady_clock::now() + aIdleTimeout;
  auto connection =
    mImpl->Send(*thread, aEndpoint, aRequest, nullptr, deadline);
  if (!connection.ok()) {
    return connection.status();
  }
  return detail::ReadLines(
    **connection, mImpl->mLimits.mMaxBodyBytes, aIdleTimeout, aOnLine);
}

} // namespace foxtailbarrow::net
