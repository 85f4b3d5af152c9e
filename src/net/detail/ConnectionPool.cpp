#include "src/net/detail/ConnectionPool.h"

#include <utility>

namespace foxtailbarrow::net::detail {

std::unique_ptr<Connection> ConnectionPool::Take(const Endpoint& aEndpoint)
{
  const auto found = mIdle.find(aEndpoint);
  if (found == mIdle.end()) {
    return nullptr;
  }
  auto& idle = found->second;
  while (!idle.empty()) {
    std::unique_ptr<Connection> connection = std::move(idle.back());
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
                         std::size_t aMaxIdle)
{
  auto& idle = mIdle[aEndpoint];
  if (idle.size() < aMaxIdle) {
    idle.push_back(std::move(aConnection));
  }
}

} // namespace foxtailbarrow::net::detail
