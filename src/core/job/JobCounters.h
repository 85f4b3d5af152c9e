#pragma once

#include <cstdint>

namespace foxtailbarrow {

/// Totals since process start, for metrics.
struct JobCounters
{
  std::uint64_t mPlaced = 0; ///< Assignments committed.
  std::uint64_t mGranted = 0;
  std::uint64_t mRefused = 0;
  std::uint64_t mLapsed = 0; ///< Assignments whose lease expired.
  std::uint64_t mFinished = 0;
  std::uint64_t mFailed = 0; ///< Jobs that failed finally.
  std::uint64_t mFailedAttempts = 0;
  std::uint64_t mCancelled = 0;
  std::uint64_t mEvicted = 0; ///< Checkpoints saved.
  std::uint64_t mParked = 0;
  std::uint64_t mDisowned = 0;
  std::uint64_t mQuarantined = 0; ///< Quarantines started.
  std::uint64_t mCommits = 0;
  std::uint64_t mConflicts = 0;
  std::uint64_t mLostCommits = 0; ///< Whose reply was lost.
  std::uint64_t mStaleHeartbeats = 0;
};

} // namespace foxtailbarrow
