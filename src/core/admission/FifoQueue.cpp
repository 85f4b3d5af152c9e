#include "src/core/admission/FifoQueue.h"

#include <utility>

namespace foxtailbarrow {

FifoQueue::FifoQueue(QueueSettings aSettings)
  : mSettings(aSettings)
{
}

QueueRefusal FifoQueue::MakeRefusal(const QueuedRequest& aRequest,
                                    Reason aReason) const
{
  const Duration wait =
    mRate.Interval() * static_cast<Duration::rep>(mRequests.size() + 1);
  return { aRequest.mHandle, { aReason, WithJitter(wait, aRequest.mJitter) } };
}

std::vector<QueueRefusal> FifoQueue::Offer(Instant aNow, QueuedRequest aRequest)
{
  if (aRequest.mDeadline <= aNow) {
    return { MakeRefusal(aRequest, Reason::DeadlineTooShort) };
  }
  if (mRequests.size() >= mSettings.mCapacity) {
    return { MakeRefusal(aRequest, Reason::Overload) };
  }
  mRequests.push_back(std::move(aRequest));
  return {};
}

QueuePop FifoQueue::Pop(Instant aNow)
{
  QueuePop pop;
  while (!mRequests.empty() && !pop.mNext) {
    QueuedRequest request = std::move(mRequests.front());
    mRequests.pop_front();
    if (request.mDeadline <= aNow) {
      pop.mRefused.push_back(MakeRefusal(request, Reason::DeadlineTooShort));
      continue;
    }
    pop.mNext = std::move(request);
  }
  if (pop.mNext) {
    mRate.OnDequeued(aNow, !mRequests.empty());
  }
  return pop;
}

std::vector<QueueRefusal> FifoQueue::Sweep(Instant)
{
  return {};
}

} // namespace foxtailbarrow
