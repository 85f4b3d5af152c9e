#pragma once

#include <atomic>
#include <cstdint>

namespace foxtailbarrow {

/// What a BatchWriter has done since it was made. Safe from any thread.
struct BatchCounters
{
  std::atomic<std::uint64_t> mWrites = 0;    ///< Offered by callers.
  std::atomic<std::uint64_t> mRefused = 0;   ///< Over the bound of the queue.
  std::atomic<std::uint64_t> mCommits = 0;   ///< Transactions sent.
  std::atomic<std::uint64_t> mSplits = 0;    ///< Batches halved.
  std::atomic<std::uint64_t> mReadBacks = 0; ///< Lost replies looked into.
};

} // namespace foxtailbarrow
