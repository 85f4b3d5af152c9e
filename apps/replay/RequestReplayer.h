#pragma once

#include <cstddef>

#include "apps/replay/ReplayContext.h"
#include "apps/replay/RequestTracker.h"
#include "src/core/trace/TraceEvents.h"

namespace foxtailbarrow::replay {

/// Sends one request of a trace as a well-behaved caller does: through the
/// next entry, again only when that is safe and only after the time that
/// Retry-After names, within the deadline. Both references outlive it.
class RequestReplayer
{
public:
  RequestReplayer(ReplayContext& aContext, RequestTracker& aTracker)
    : mContext(aContext)
    , mTracker(aTracker)
  {
  }

  /// Sends and books it; suspends the fiber until it has ended.
  void Replay(const TraceRequest& aLine, std::size_t aIndex, Instant aDue);

private:
  /// How an attempt ended and when another one makes sense, if ever.
  struct Outcome
  {
    AttemptEnd mEnd = AttemptEnd::Unanswered;
    std::optional<Duration> mRetryAfter;
    std::string mReason{}; ///< Told with a refusal.
  };

  Outcome Send(const TraceRequest& aLine,
               const net::HttpRequest& aRequest,
               Duration aRemaining);

  ReplayContext& mContext;
  RequestTracker& mTracker;
};

} // namespace foxtailbarrow::replay
