#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"

namespace foxtailbarrow {

/// How a caller was told that one attempt ended.
enum class AttemptEnd : std::uint8_t
{
  Answered,    ///< A whole answer to its own request.
  Failed,      ///< A backend server's error, passed on.
  NotRun,      ///< Told that it did not run.
  MayHaveRun,  ///< Told that it may have run.
  Unanswered,  ///< Broken off.
  WrongAnswer, ///< An answer to another request, or a damaged one.
};

struct Attempt
{
  std::string mRequestId; ///< Unique over all attempts of all requests.
  AttemptEnd mEnd = AttemptEnd::Unanswered;
  std::string mReason{}; ///< Why it was refused; empty when it was not.
};

/// A request of the trace as it was carried out.
struct AttemptedRequest
{
  bool mIdempotent = false;
  std::vector<Attempt> mAttempts;
};

/// How often each request id ran, over all backend servers.
using ExecutionCounts = absl::flat_hash_map<std::string, std::int64_t>;

struct RequestAudit
{
  std::int64_t mRanDespiteNotRun = 0; ///< Attempts told "not run" that ran.
  std::int64_t mLost = 0;             ///< Attempts answered that never ran.
  std::int64_t mDoubled = 0; ///< Requests, not idempotent, that ran twice.
};

/// Compares what callers were told with what backend servers did.
RequestAudit AuditRequests(const std::vector<AttemptedRequest>& aRequests,
                           const ExecutionCounts& aExecutions);

} // namespace foxtailbarrow
