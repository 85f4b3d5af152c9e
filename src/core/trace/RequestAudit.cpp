#include "src/core/trace/RequestAudit.h"

namespace foxtailbarrow {

RequestAudit AuditRequests(const std::vector<AttemptedRequest>& aRequests,
                           const ExecutionCounts& aExecutions)
{
  RequestAudit audit;
  for (const AttemptedRequest& request : aRequests) {
    std::int64_t allRuns = 0;
    for (const Attempt& attempt : request.mAttempts) {
      const auto found = aExecutions.find(attempt.mRequestId);
      const std::int64_t runs = found == aExecutions.end() ? 0 : found->second;
      allRuns += runs;
      if (attempt.mEnd == AttemptEnd::NotRun && runs > 0) {
        ++audit.mRanDespiteNotRun;
      }
      if (attempt.mEnd == AttemptEnd::Answered && runs == 0) {
        ++audit.mLost;
      }
    }
    if (!request.mIdempotent && allRuns > 1) {
      ++audit.mRepeated;
    }
  }
  return audit;
}

} // namespace foxtailbarrow
