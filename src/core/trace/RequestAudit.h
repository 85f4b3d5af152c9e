#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"

namespace foxtailbarrow {

/// Outcome of an attempt as the caller sees it.
enum class AttemptEnd : std::uint8_t
{
  Answered,    ///< Complete, correct response.
  Failed,      ///< Error response of a backend server.
  NotRun,      ///< Verdict "not run".
  MayHaveRun,  ///< Verdict "may have run".
  Unanswered,  ///< Timeout or broken connection.
  WrongAnswer, ///< Response to another request, or damaged.
};

struct Attempt
{
  std::string mRequestId; ///< Unique over all attempts of all requests.
  AttemptEnd mEnd = AttemptEnd::Unanswered;
  std::string mReason{}; ///< Of a refusal; else empty.
};

/// A replayed request with all its attempts.
struct AttemptedRequest
{
  bool mIdempotent = false;
  std::vector<Attempt> mAttempts;
};

/// Number of executions by request id, over all backend servers.
using ExecutionCounts = absl::flat_hash_map<std::string, std::int64_t>;

struct RequestAudit
{
  std::int64_t mRanDespiteNotRun = 0; ///< Attempts.
  std::int64_t mLost = 0;             ///< Answered attempts that never ran.
  std::int64_t mRepeated = 0; ///< Non-idempotent requests that ran twice.
};

/// Compares the outcomes that callers saw with what backend servers executed.
RequestAudit AuditRequests(const std::vector<AttemptedRequest>& aRequests,
                           const ExecutionCounts& aExecutions);

} // namespace foxtailbarrow
