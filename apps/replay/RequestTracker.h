#pragma once

#include <mutex>
#include <vector>

#include "foxtailbarrow/Time.h"
#include "src/core/trace/LatencyHistogram.h"
#include "src/core/trace/ReplayTotals.h"
#include "src/core/trace/RequestAudit.h"

namespace foxtailbarrow::replay {

/// Tracks the outcomes of requests. Thread-safe.
class RequestTracker
{
public:
  /// A request of the trace is due.
  void OnDue();

  /// The request ended with its last attempt, `aLatency` after it was due.
  void OnEnded(AttemptedRequest aRequest, Duration aLatency);

  std::int64_t InProgress() const;

  /// Sets the request totals, except those of the audit.
  void AddTo(ReplayTotals& aTotals) const;

  /// All requests that ended. Must not be called before the last one has.
  const std::vector<AttemptedRequest>& Requests() const { return mRequests; }

private:
  mutable std::mutex mMutex; ///< Guards everything below.
  std::int64_t mBegun = 0;
  std::vector<AttemptedRequest> mRequests;
  ReplayTotals mTotals;
  LatencyHistogram mLatency;
};

} // namespace foxtailbarrow::replay
