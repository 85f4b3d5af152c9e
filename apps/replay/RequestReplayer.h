#pragma once

#include <cstddef>

#include "apps/replay/ReplayContext.h"
#include "apps/replay/RequestTracker.h"
#include "src/core/trace/TraceEvents.h"

namespace foxtailbarrow::replay {

/// Sends a request of a trace like a well-behaved caller: through the next
/// entry, with retries only when they are safe, after the time of Retry-After
/// and within the deadline. `aContext` and `aTracker` must outlive the
/// replayer.
class RequestReplayer
{
public:
  RequestReplayer(ReplayContext& aContext, RequestTracker& aTracker)
    : mContext(aContext)
    , mTracker(aTracker)
  {
  }

  /// Sends the request and records its end; suspends the fiber meanwhile.
  void Replay(const TraceRequest& aLine, std::size_t aIndex, Instant aDue);

private:
  /// How an attempt ended, and the delay after which a retry is possible.
  struct Outcome
  {
    AttemptEnd mEnd = AttemptEnd::Unanswered;
    std::optional<Duration> mRetryAfter;
    std::string mReason{}; ///< Of a refusal.
  };

  Outcome Send(const TraceRequest& aLine,
               const net::HttpRequest& aRequest,
               Duration aRemaining);

  ReplayContext& mContext;
  RequestTracker& mTracker;
};

} // namespace foxtailbarrow::replay
