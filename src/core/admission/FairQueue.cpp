#include "src/core/admission/FairQueue.h"

#include <algorithm>
#include <utility>

namespace foxtailbarrow {

namespace {

constexpr Duration kMinRetryAfter = std::chrono::milliseconds(10);

/// A request is only queued when it would start in time even if the wait were
/// half as long again as estimated: the estimate is from the last few dozen
/// starts, and a refusal on arrival is worth more to the caller than one after
/// a wait.
bool StartsInTime(Duration aWait, Duration aRemaining)
{
  return aWait + aWait / 2 < aRemaining;
}

QueueRefusal GiveUp(const QueuedRequest& aRequest,
                    Reason aReason,
                    Duration aWait)
{
  const Duration wait = std::max(aWait, kMinRetryAfter);
  return { aRequest.mHandle, { aReason, WithJitter(wait, aRequest.mJitter) } };
}

} // namespace

FairQueue::FairQueue(QueueSettings aSettings)
  : mSettings(aSettings)
{
}

FairBand& FairQueue::BandOf(const QueuedRequest& aRequest)
{
  return aRequest.mBatch ? mBatch : mCritical;
}

void FairQueue::Push(QueuedRequest aRequest)
{
  FairBand& band = BandOf(aRequest);
  band.Push(std::move(aRequest));
}

Duration FairQueue::ExpectedWait(const QueuedRequest& aRequest) const
{
  const Duration interval = mRate.Interval();
  if (!aRequest.mBatch) {
    return mCritical.ExpectedWait(
      aRequest.mCustomer, aRequest.mWeight, interval);
  }
  return interval * static_cast<Duration::rep>(mCritical.Size()) +
         mBatch.ExpectedWait(aRequest.mCustomer, aRequest.mWeight, interval);
}

std::vector<QueueRefusal> FairQueue::Offer(Instant aNow, QueuedRequest aRequest)
{
  const Duration wait = ExpectedWait(aRequest);
  if (aRequest.mDeadline <= aNow ||
      !StartsInTime(wait, aRequest.mDeadline - aNow)) {
    return { GiveUp(aRequest, Reason::DeadlineTooShort, wait) };
  }
  if (Size() < mSettings.mCapacity) {
    Push(std::move(aRequest));
    return {};
  }
  return { EvictOrRefuse(std::move(aRequest)) };
}

QueueRefusal FairQueue::EvictOrRefuse(QueuedRequest aRequest)
{
  const Duration interval = mRate.Interval();
  // Latency-critical requests take the room of batch before their own.
  const bool takesFromOwn = aRequest.mBatch || mBatch.Size() == 0;
  const bool isOver =
    takesFromOwn && BandOf(aRequest).ExceedsFairShare(aRequest.mCustomer,
                                                      aRequest.mWeight,
                                                      mSettings.mCapacity);
  const bool onlyCritical = aRequest.mBatch && mBatch.Size() == 0;
  if (isOver || onlyCritical) {
    return GiveUp(aRequest, Reason::Overload, ExpectedWait(aRequest));
  }
  FairBand& source = mBatch.Size() > 0 ? mBatch : mCritical;
  const QueuedRequest victim = source.TakeNewestOfLargest();
  Push(std::move(aRequest));
  return GiveUp(
    victim, Reason::Overload, interval * static_cast<Duration::rep>(Size()));
}

QueuePop FairQueue::Pop(Instant aNow)
{
  QueuePop pop;
  while (Size() > 0 && !pop.mNext) {
    QueuedRequest request =
      mCritical.Size() > 0 ? mCritical.Pop(aNow) : mBatch.Pop(aNow);
    if (request.mDeadline <= aNow) {
      pop.mRefused.push_back(
        GiveUp(request, Reason::DeadlineTooShort, ExpectedWait(request)));
      continue;
    }
    pop.mNext = std::move(request);
  }
  if (pop.mNext) {
    mRate.OnDequeued(aNow, Size() > 0);
  }
  return pop;
}

std::vector<QueueRefusal> FairQueue::Sweep(Instant aNow)
{
  std::vector<QueueRefusal> refusals;
  const Duration interval = mRate.Interval();
  const auto take = [&](FairBand& aBand, std::size_t aAhead) {
    for (const auto& [request, wait] : aBand.TakeLate(aNow, interval, aAhead)) {
      refusals.push_back(GiveUp(request, Reason::DeadlineTooShort, wait));
    }
  };
  take(mCritical, 0);
  take(mBatch, mCritical.Size());
  return refusals;
}

} // namespace foxtailbarrow
