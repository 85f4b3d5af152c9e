#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "absl/container/flat_hash_set.h"

#include "src/core/base/Snapshot.h"
#include "src/net/HttpServer.h"
#include "src/net/detail/Await.h"

namespace foxtailbarrow::net::detail {

class ServerConnection;

inline constexpr std::size_t kCacheLineBytes = 64;

/// State of a server per thread. The counters are written only by that thread
/// and read by any.
struct alignas(kCacheLineBytes) ServerThread
{
  std::atomic<std::size_t> mInProgress{ 0 };
  std::atomic<std::uint64_t> mRequests{ 0 };
  std::atomic<std::uint64_t> mRejected{ 0 };
  std::atomic<std::uint64_t> mEvictedForMemory{ 0 };
  std::atomic<std::uint64_t> mEvictedForConnections{ 0 };
  std::atomic<std::uint64_t> mHandlerFailures{ 0 };
  // The rest is confined to this thread.
  absl::flat_hash_set<ServerConnection*> mOpen;
  std::size_t mMessageBytes = 0;  ///< Memory of all connections' requests.
  std::size_t mResponseBytes = 0; ///< And of their responses.
};

/// State that the connections of one server share. Immutable after the start
/// except for the atomics.
struct ServerState
{
  using TimePoint = AwaitState::TimePoint;

  HttpServer::Handler mHandler;
  HttpServer::StreamHandler mStream;
  std::string mStreamTarget;
  HttpServerLimits mLimits; ///< But for those in mRequestLimits.
  Snapshot<HttpRequestLimits> mRequestLimits{
    std::make_shared<const HttpRequestLimits>()
  };

  std::vector<std::unique_ptr<ServerThread>> mThreads;
  std::atomic<std::size_t> mConnections{ 0 };
  std::atomic<std::uint64_t> mAccepted{ 0 };
  std::atomic<std::uint64_t> mRefused{ 0 };
  std::atomic<bool> mDraining{ false };
  std::atomic<bool> mClosing{ false };
  std::atomic<TimePoint::rep> mDrainEnd{ 0 };

  std::size_t MaxConnectionsOfThread() const
  {
    return (mLimits.mMaxConnections + mThreads.size() - 1) / mThreads.size();
  }

  std::size_t MaxMessageBytesOfThread() const
  {
    return mLimits.mMaxMessageBytes / mThreads.size();
  }

  TimePoint DrainEnd() const
  {
    return TimePoint(TimePoint::duration(mDrainEnd.load()));
  }
};

} // namespace foxtailbarrow::net::detail
