#pragma once

#include "absl/status/statusor.h"
#include <json/value.h>

#include "apps/replay/JobTracker.h"
#include "apps/replay/ReplayContext.h"
#include "src/core/trace/TraceEvents.h"
#include "src/net/HttpMessage.h"

namespace foxtailbarrow::replay {

/// Submits, cancels and follows the jobs of a trace. Every call carries an
/// idempotency key or is idempotent, so that it is repeated after a lost reply.
/// Methods suspend the calling fiber. Both references outlive it.
class JobReplayer
{
public:
  JobReplayer(ReplayContext& aContext, JobTracker& aTracker)
    : mContext(aContext)
    , mTracker(aTracker)
  {
  }

  void Submit(const TraceJob& aLine);
  void Cancel(const TraceCancel& aLine);

  /// Asks for each job that has not ended as stated.
  void PollOpenJobs();

  /// Until every job has ended as stated, `aUntil` at the latest.
  void PollUntilEnded(Instant aUntil);

private:
  absl::StatusOr<net::HttpResponse> CallUntilAnswered(
    const net::HttpRequest& aRequest);
  void Poll(const ReplayedJob& aJob);

  ReplayContext& mContext;
  JobTracker& mTracker;
};

} // namespace foxtailbarrow::replay
