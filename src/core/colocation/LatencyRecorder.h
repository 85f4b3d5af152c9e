#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

#include "foxtailbarrow/Time.h"
#include "src/core/colocation/LoadLevel.h"
#include "src/core/colocation/ServiceHistogram.h"

namespace foxtailbarrow {

/// Service latencies of one window, by load level.
struct LatencyWindow
{
  Instant mBegin{};
  Instant mEnd{};
  std::array<ServiceHistogram, kLoadLevels> mLevels;
};

/// Records latencies on the request path: one relaxed increment per request.
/// Add() may be called by any thread, Take() by one thread only.
class LatencyRecorder
{
public:
  void Add(Duration aTime, std::size_t aLevel)
  {
    mCounts[aLevel][ServiceHistogram::BucketOf(aTime)].fetch_add(
      1, std::memory_order_relaxed);
  }

  /// Returns and resets the latencies recorded since the last call.
  LatencyWindow Take(Instant aNow)
  {
    LatencyWindow window;
    window.mBegin = mTaken == Instant{} ? aNow : mTaken;
    window.mEnd = mTaken = aNow;
    for (std::size_t level = 0; level < kLoadLevels; ++level) {
      for (std::size_t i = 0; i < ServiceHistogram::kBuckets; ++i) {
        if (mCounts[level][i].load(std::memory_order_relaxed) != 0) {
          window.mLevels[level].Add(i, mCounts[level][i].exchange(0));
        }
      }
    }
    return window;
  }

private:
  using Counts =
    std::array<std::atomic<std::uint32_t>, ServiceHistogram::kBuckets>;

  std::array<Counts, kLoadLevels> mCounts{};
  Instant mTaken{};
};

} // namespace foxtailbarrow
