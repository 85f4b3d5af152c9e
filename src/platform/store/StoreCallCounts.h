#pragma once

#include <array>
#include <atomic>
#include <cstdint>

#include "src/platform/store/StoreCall.h"

namespace foxtailbarrow {

/// Number of store calls by kind since construction. Safe from any thread.
class StoreCallCounts
{
public:
  void Add(StoreCall aCall)
  {
    Slot(aCall).fetch_add(1, std::memory_order_relaxed);
  }

  std::uint64_t Count(StoreCall aCall) const
  {
    return mCounts[static_cast<std::size_t>(aCall)].load(
      std::memory_order_relaxed);
  }

  std::uint64_t Total() const
  {
    std::uint64_t total = 0;
    for (const auto& count : mCounts) {
      total += count.load(std::memory_order_relaxed);
    }
    return total;
  }

private:
  std::atomic<std::uint64_t>& Slot(StoreCall aCall)
  {
    return mCounts[static_cast<std::size_t>(aCall)];
  }

  std::array<std::atomic<std::uint64_t>, kStoreCallKinds> mCounts{};
};

} // namespace foxtailbarrow
