#pragma once

#include <atomic>
#include <cstdint>

namespace foxtailbarrow {

/// Statistics of a BatchWriter since construction. Safe from any thread.
struct BatchCounters
{
  std::atomic<std::uint64_t> mWrites = 0;    ///< Calls of Write().
  std::atomic<std::uint64_t> mRefused = 0;   ///< Queue full or stopping.
  std::atomic<std::uint64_t> mCommits = 0;   ///< Transactions sent.
  std::atomic<std::uint64_t> mSplits = 0;    ///< Batches bisected.
  std::atomic<std::uint64_t> mReadBacks = 0; ///< Read-backs of lost replies.
};

} // namespace foxtailbarrow
