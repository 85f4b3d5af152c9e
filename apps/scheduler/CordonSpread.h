#pragma once

#include <vector>

#include "apps/scheduler/Election.h"
#include "src/core/cell/workers/CordonTable.h"
#include "src/net/Rpc.h"
#include "src/net/Waker.h"

namespace foxtailbarrow::scheduler {

/// Tells the cell's owner in another process of changed cordons: the store may
/// refuse the owner while it serves this process.
class CordonSpread
{
public:
  CordonSpread(net::RpcClient& aRpc, const Election& aElection);

  void OnChange(const cell::CordonTable& aCordons);

  /// Sends the rows until an owner has them. Returns the pause before the next
  /// round.
  Duration Round();
  Waker& RoundWaker() { return mWaker; }

private:
  net::RpcClient& mRpc;
  const Election& mElection;
  Waker mWaker;
  std::vector<cell::DomainCordon> mUntold;
};

} // namespace foxtailbarrow::scheduler
