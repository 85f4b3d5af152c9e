#pragma once

#include <mutex>
#include <vector>

#include "foxtailbarrow/Time.h"
#include "src/core/trace/LatencyHistogram.h"
#include "src/core/trace/ReplayTotals.h"
#include "src/core/trace/RequestAudit.h"

namespace foxtailbarrow::replay {

/// How each request ended. Callable from any thread.
class RequestTracker
{
public:
  /// A request of the trace is due.
  void Begin();

  /// It ended as its last attempt did, `aLatency` after it was due.
  void End(AttemptedRequest aRequest, Duration aLatency);

  std::int64_t InProgress() const;

  /// Fills the part of the totals that is about requests, audit excluded.
  void AddTo(ReplayTotals& aTotals) const;

  /// Of all requests that ended. Call after the last one.
  const std::vector<AttemptedRequest>& Requests() const { return mRequests; }

private:
  mutable std::mutex mMutex; ///< Guards everything below.
  std::int64_t mBegun = 0;
  std::vector<AttemptedRequest> mRequests;
  ReplayTotals mTotals;
  LatencyHistogram mLatency;
};

} // namespace foxtailbarrow::replay
