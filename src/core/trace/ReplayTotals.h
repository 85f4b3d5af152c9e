#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow {

/// Results of a replay over the whole trace.
struct ReplayTotals
{
  std::int64_t mRequests = 0;   ///< Requests of the trace, not attempts.
  std::int64_t mAnswered = 0;   ///< Complete, correct response.
  std::int64_t mNotRun = 0;     ///< Final verdict "not run".
  std::int64_t mMayHaveRun = 0; ///< Final verdict "may have run".
  std::int64_t mErrors = 0;     ///< Error responses of backend servers.
  std::int64_t mUnanswered = 0; ///< No response by the deadline and a margin.
  std::int64_t mRetries = 0;
  /// Refused attempts, by reason.
  std::map<std::string, std::int64_t> mRefusals;
  std::int64_t mWrongAnswers = 0; ///< For another request, or damaged.
  /// Attempts with the verdict "not run" that a backend server ran.
  std::int64_t mRanDespiteNotRun = 0;
  /// Answered attempts that no backend server ran.
  std::int64_t mLostRequests = 0;
  /// Requests that are not idempotent but ran more than once.
  std::int64_t mRepeatedRequests = 0;
  Duration mP50{};
  Duration mP99{};
  Duration mP999{};

  std::int64_t mJobs = 0;            ///< Submitted and accepted.
  std::int64_t mJobsRefused = 0;     ///< Not accepted.
  std::int64_t mJobsAsExpected = 0;  ///< Ended in the state given in the trace.
  std::int64_t mLostJobs = 0;        ///< Accepted, but unknown to the entries.
  std::int64_t mOverlappingJobs = 0; ///< Had two concurrent runs.
  std::int64_t mEvictions = 0;
  /// How often a worker's tasks exceeded its capacity.
  std::int64_t mOvercommitted = 0;
  std::int64_t mContracts = 0; ///< Contract changes applied.

  /// Whether the stand-ins were queried for what really ran. Otherwise
  /// mRanDespiteNotRun, mLostRequests, mRepeatedRequests, mOverlappingJobs and
  /// mOvercommitted are unknown.
  bool mAudited = false;
};

} // namespace foxtailbarrow
