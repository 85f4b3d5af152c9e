#pragma once

#include "absl/status/statusor.h"
#include <json/value.h>

#include "apps/replay/JobTracker.h"
#include "apps/replay/ReplayContext.h"
#include "src/core/trace/TraceEvents.h"
#include "src/net/HttpMessage.h"

namespace foxtailbarrow::replay {

/// Submits, cancels and polls the jobs of a trace. Every call is idempotent or
/// carries an idempotency key, and is retried after a lost reply. Methods
/// suspend the calling fiber. `aContext` and `aTracker` must outlive the
/// replayer.
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

  /// Polls each job that is not in its expected end state.
  void PollOpenJobs();

  /// Polls until every job is in its expected end state, or until `aUntil`.
  void PollUntilEnded(Instant aUntil);

private:
  absl::StatusOr<net::HttpResponse> CallWithRetries(
    const net::HttpRequest& aRequest);
  void Poll(const ReplayedJob& aJob);

  ReplayContext& mContext;
  JobTracker& mTracker;
};

} // namespace foxtailbarrow::replay
