#pragma once

#include "src/core/admission/DequeueRate.h"
#include "src/core/admission/FairBand.h"
#include "src/core/admission/QueuedRequest.h"

namespace foxtailbarrow {

/// Bounded queue that decides which request gets the next free slot:
/// latency-critical before batch, and weighted fair among customers. One object
/// per service; not thread-safe.
///
/// Guarantees: a refused request is reported at once with a Retry-After. It is
/// refused on arrival if it could not start before its deadline or its customer
/// exceeds its fair share of a full queue, and later if the queue drains more
/// slowly than expected (Sweep()) or its place is needed by a latency-critical
/// request or a customer below its fair share. No request is both refused and
/// dequeued.
class FairQueue
{
public:
  explicit FairQueue(QueueSettings aSettings);

  /// Queues a request. Returns the refused requests: none, this or another one.
  std::vector<QueueRefusal> Offer(Instant aNow, QueuedRequest aRequest);

  /// Dequeues the request that gets a free slot.
  QueuePop Pop(Instant aNow);

  /// Refuses the requests that can no longer start before their deadlines. Call
  /// every few milliseconds while Size() > 0; costs O(Size()).
  std::vector<QueueRefusal> Sweep(Instant aNow);

  /// Time until `aRequest` would start if it were queued now.
  Duration ExpectedWait(const QueuedRequest& aRequest) const;

  std::size_t Size() const { return mCritical.Size() + mBatch.Size(); }

private:
  FairBand& BandOf(const QueuedRequest& aRequest);
  void Push(QueuedRequest aRequest);
  QueueRefusal EvictOrRefuse(QueuedRequest aRequest);

  QueueSettings mSettings;
  FairBand mCritical;
  FairBand mBatch;
  DequeueRate mRate;
};

} // namespace foxtailbarrow
