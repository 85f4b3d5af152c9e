#pragma once

#include <deque>

#include "src/core/admission/DequeueRate.h"
#include "src/core/admission/QueuedRequest.h"

namespace foxtailbarrow {

/// Baseline beside FairQueue: first come, first served, bounded; refuses an
/// arrival when it is full and drops a request only when its turn comes after
/// its deadline.
class FifoQueue
{
public:
  explicit FifoQueue(QueueSettings aSettings);

  std::vector<QueueRefusal> Offer(Instant aNow, QueuedRequest aRequest);
  QueuePop Pop(Instant aNow);
  std::vector<QueueRefusal> Sweep(Instant aNow);
  std::size_t Size() const { return mRequests.size(); }

private:
  QueueRefusal GiveUp(const QueuedRequest& aRequest, Reason aReason) const;

  QueueSettings mSettings;
  std::deque<QueuedRequest> mRequests;
  DequeueRate mRate;
};

} // namespace foxtailbarrow
