#pragma once

#include <deque>

#include "src/core/admission/DequeueRate.h"
#include "src/core/admission/QueuedRequest.h"

namespace foxtailbarrow {

/// Bounded FIFO queue, the baseline for FairQueue. Refuses new requests when it
/// is full, and drops a queued request only when it reaches the front after its
/// deadline.
class FifoQueue
{
public:
  explicit FifoQueue(QueueSettings aSettings);

  std::vector<QueueRefusal> Offer(Instant aNow, QueuedRequest aRequest);
  QueuePop Pop(Instant aNow);
  std::vector<QueueRefusal> Sweep(Instant aNow);
  std::size_t Size() const { return mRequests.size(); }

private:
  QueueRefusal MakeRefusal(const QueuedRequest& aRequest, Reason aReason) const;

  QueueSettings mSettings;
  std::deque<QueuedRequest> mRequests;
  DequeueRate mRate;
};

} // namespace foxtailbarrow
