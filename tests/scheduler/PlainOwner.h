#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <utility>

#include "apps/scheduler/CellOwner.h"

namespace foxtailbarrow::scheduler::test {

/// An owner without queues, cordons and advisor.
inline std::shared_ptr<CellOwner> MakePlainOwner(
  net::FiberRuntime& aRuntime,
  Store& aStore,
  net::RpcClient& aRpc,
  const cell::OwnerTerm& aTerm,
  cell::CellSettings aSettings = {},
  const Endpoint& aSelf = {},
  std::function<void()> aOnSuperseded = [] {})
{
  return std::make_shared<CellOwner>(
    CellOwner::Parts{ aRuntime,
                      aStore,
                      aRpc,
                      aSelf,
                      std::chrono::hours(1),
                      nullptr,
                      [] { return absl::OkStatus(); },
                      std::move(aOnSuperseded),
                      [] { return Duration::zero(); } },
    aTerm,
    aSettings,
    std::vector<cell::QueuePolicy>{},
    cell::CordonTable{});
}

} // namespace foxtailbarrow::scheduler::test
