#pragma once

#include <chrono>
#include <memory>

#include "apps/scheduler/CellOwner.h"

namespace foxtailbarrow::scheduler::test {

/// An owner without queues, cordons and advisor.
inline std::shared_ptr<CellOwner> MakePlainOwner(
  net::FiberRuntime& aRuntime,
  Store& aStore,
  net::RpcClient& aRpc,
  const cell::OwnerTerm& aTerm,
  cell::CellSettings aSettings = {},
  const Endpoint& aSelf = {})
{
  return std::make_shared<CellOwner>(
    CellOwner::Parts{ aRuntime,
                      aStore,
                      aRpc,
                      aSelf,
                      std::chrono::hours(1),
                      nullptr,
                      [] { return absl::OkStatus(); },
                      [] {},
                      [] { return Duration::zero(); } },
    aTerm,
    aSettings,
    std::vector<cell::QueuePolicy>{},
    cell::CordonTable{});
}

} // namespace foxtailbarrow::scheduler::test
