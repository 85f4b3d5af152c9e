#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow {

/// What a replay saw, over the whole trace.
struct ReplayTotals
{
  std::int64_t mRequests = 0;   ///< Lines of the trace, not attempts.
  std::int64_t mAnswered = 0;   ///< Whole answer to its own request.
  std::int64_t mNotRun = 0;     ///< Told "not run" at last.
  std::int64_t mMayHaveRun = 0; ///< Told "may have run".
  std::int64_t mErrors = 0;     ///< Other error answers of backend servers.
  std::int64_t mUnanswered = 0; ///< No answer by the deadline and a margin.
  std::int64_t mRetries = 0;
  /// Attempts that were refused, by the reason told.
  std::map<std::string, std::int64_t> mRefusals;
  std::int64_t mWrongAnswers = 0; ///< Of another request, or damaged.
  /// Told "not run", but a backend server ran it.
  std::int64_t mRanDespiteNotRun = 0;
  /// Answered as run, but no backend server ran it.
  std::int64_t mLostRequests = 0;
  /// Not idempotent, but run more than once.
  std::int64_t mRepeatedRequests = 0;
  Duration mP50{};
  Duration mP99{};
  Duration mP999{};

  std::int64_t mJobs = 0;            ///< Submitted and accepted.
  std::int64_t mJobsRefused = 0;     ///< Not accepted.
  std::int64_t mJobsAsExpected = 0;  ///< Ended as their lines say.
  std::int64_t mLostJobs = 0;        ///< Accepted, but no entry knows them.
  std::int64_t mOverlappingJobs = 0; ///< Ran in two places at once.
  std::int64_t mEvictions = 0;
  /// Times that a worker held more than its size.
  std::int64_t mOvercommitted = 0;
  std::int64_t mContracts = 0; ///< Contract changes applied.

  /// Whether the stand-ins were asked what really ran. Without it nothing is
  /// known of what was told wrongly, lost or doubled, or over-committed.
  bool mAudited = false;
};

} // namespace foxtailbarrow
