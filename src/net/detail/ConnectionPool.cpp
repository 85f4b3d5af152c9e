#include "src/net/detail/ConnectionPool.h"

#include <utility>

namespace foxtailbarrow::net::detail {

namespace {

constexpr int kSweepsPerIdleTime = 4;

} // namespace

std::unique_ptr<Connection> ConnectionPool::Take(const Endpoint& aEndpoint)
{
  const auto found = mIdle.find(aEndpoint);
  if (found == mIdle.end()) {
    return nullptr;
  }
  auto& idle = found->second;
  while (!idle.empty()) {
    std::unique_ptr<Connection> connection = std::move(idle.back().mConnection);
    idle.pop_back();
    if (!connection->Stale()) {
      return connection;
    }
  }
  mIdle.erase(found);
  return nullptr;
}

void ConnectionPool::Put(const Endpoint& aEndpoint,
                         std::unique_ptr<Connection> aConnection,
                         const HttpClientLimits& aLimits,
                         TimePoint aNow)
{
  if (aNow >= mNextSweep) {
    CloseAged(aNow, aLimits.mMaxIdleTime);
    mNextSweep = aNow + aLimits.mMaxIdleTime / kSweepsPerIdleTime;
  }
  auto& idle = mIdle[aEndpoint];
  if (idle.size() < aLimits.mMaxIdlePerEndpoint) {
    idle.push_back({ std::move(aConnection), aNow });
  }
}

void ConnectionPool::CloseAged(TimePoint aNow, Duration aMaxIdleTime)
{
  absl::erase_if(mIdle, [aNow, aMaxIdleTime](auto& aPeer) {
    std::erase_if(aPeer.second, [aNow, aMaxIdleTime](const Idle& aIdle) {
      return aNow - aIdle.mSince > aMaxIdleTime;
    });
    return aPeer.second.empty();
  });
}

} // namespace foxtailbarrow::net::detail
