#include "src/core/admission/FairQueue.h"

#include <algorithm>
#include <utility>

namespace foxtailbarrow {

namespace {

constexpr Duration kMinRetryAfter = std::chrono::milliseconds(10);

/// Adds a margin of half the estimated wait: the estimate covers only the last
/// few dozen starts, and a refusal on arrival is more useful to the caller than
/// one after a wait.
bool StartsInTime(Duration aWait, Duration aRemaining)
{
  return aWait + aWait / 2 < aRemaining;
}

QueueRefusal MakeRefusal(const QueuedRequest& aRequest,
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
    return { MakeRefusal(aRequest, Reason::DeadlineTooShort, wait) };
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
  // Latency-critical requests displace batch requests first.
  const bool evictsFromOwnBand = aRequest.mBatch || mBatch.Size() == 0;
  const bool exceedsShare =
    evictsFromOwnBand && BandOf(aRequest).ExceedsFairShare(aRequest.mCustomer,
                                                           aRequest.mWeight,
                                                           mSettings.mCapacity);
  const bool hasNoBatchToEvict = aRequest.mBatch && mBatch.Size() == 0;
  if (exceedsShare || hasNoBatchToEvict) {
    return MakeRefusal(aRequest, Reason::Overload, ExpectedWait(aRequest));
  }
  FairBand& source = mBatch.Size() > 0 ? mBatch : mCritical;
  const QueuedRequest evicted = source.TakeNewestOfLargest();
  Push(std::move(aRequest));
  return MakeRefusal(
    evicted, Reason::Overload, interval * static_cast<Duration::rep>(Size()));
}

QueuePop FairQueue::Pop(Instant aNow)
{
  QueuePop pop;
  while (Size() > 0 && !pop.mNext) {
    QueuedRequest request =
      mCritical.Size() > 0 ? mCritical.Pop(aNow) : mBatch.Pop(aNow);
    if (request.mDeadline <= aNow) {
      pop.mRefused.push_back(
        MakeRefusal(request, Reason::DeadlineTooShort, ExpectedWait(request)));
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
  const auto refuseLate = [&](FairBand& aBand, std::size_t aAhead) {
    for (const auto& [request, wait] : aBand.TakeLate(aNow, interval, aAhead)) {
      refusals.push_back(MakeRefusal(request, Reason::DeadlineTooShort, wait));
    }
  };
  refuseLate(mCritical, 0);
  refuseLate(mBatch, mCritical.Size());
  return refusals;
}

} // namespace foxtailbarrow
