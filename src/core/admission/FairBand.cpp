#include "src/core/admission/FairBand.h"

#include <algorithm>

namespace foxtailbarrow {

const FairBand::Flow* FairBand::Find(const CustomerId& aCustomer) const
{
  const auto found = mFlows.find(aCustomer);
  return found == mFlows.end() ? nullptr : &found->second;
}

void FairBand::Push(QueuedRequest aRequest)
{
  const auto [place, isNew] = mFlows.try_emplace(aRequest.mCustomer);
  Flow& flow = place->second;
  if (isNew) {
    flow.mWeight = aRequest.mWeight;
    flow.mTag = mVirtualNow + 1 / flow.mWeight;
    mWeights += flow.mWeight;
    mOrder.emplace(flow.mTag, aRequest.mCustomer);
  }
  flow.mRequests.push_back(std::move(aRequest));
  ++mSize;
}

QueuedRequest FairBand::Pop(Instant aNow)
{
  const auto [tag, customer] = *mOrder.begin();
  mOrder.erase(mOrder.begin());
  Flow& flow = mFlows.at(customer);
  QueuedRequest request = std::move(flow.mRequests.front());
  flow.mRequests.pop_front();
  --mSize;
  flow.mRate.OnDequeued(aNow, !flow.mRequests.empty());
  mVirtualNow = tag;
  flow.mTag = tag + 1 / flow.mWeight;
  mOrder.emplace(flow.mTag, customer);
  if (flow.mRequests.empty()) {
    RemoveFlow(customer);
  }
  return request;
}

void FairBand::RemoveFlow(const CustomerId& aCustomer)
{
  const auto found = mFlows.find(aCustomer);
  mOrder.erase({ found->second.mTag, aCustomer });
  mWeights -= found->second.mWeight;
  mFlows.erase(found);
  if (mFlows.empty()) {
    mWeights = 0; // do not accumulate rounding errors
  }
}

QueuedRequest FairBand::TakeNewestOfLargest()
{
  const auto load = [](const auto& aItem) {
    return static_cast<double>(aItem.second.mRequests.size()) /
           aItem.second.mWeight;
  };
  const auto heaviest = std::max_element(
    mFlows.begin(), mFlows.end(), [&](const auto& aLeft, const auto& aRight) {
      return load(aLeft) < load(aRight);
    });
  QueuedRequest request = std::move(heaviest->second.mRequests.back());
  heaviest->second.mRequests.pop_back();
  --mSize;
  if (heaviest->second.mRequests.empty()) {
    RemoveFlow(request.mCustomer);
  }
  return request;
}

Duration FairBand::WaitAtPosition(const Flow& aFlow,
                                  std::size_t aPosition,
                                  Duration aInterval) const
{
  // The measured rate is more accurate than the weights, since other customers
  // come and go.
  if (aFlow.mRate.HasEnoughSamples()) {
    return aFlow.mRate.Interval() * static_cast<Duration::rep>(aPosition + 1);
  }
  return WaitByWeights(aPosition, aFlow.mWeight, mWeights, aInterval);
}

Duration FairBand::WaitByWeights(std::size_t aPosition,
                                 double aWeight,
                                 double aWeights,
                                 Duration aInterval) const
{
  const double turns =
    std::min(static_cast<double>(aPosition + 1) * aWeights / aWeight,
             static_cast<double>(mSize + 1));
  return Duration(
    static_cast<Duration::rep>(turns * static_cast<double>(aInterval.count())));
}

Duration FairBand::ExpectedWait(const CustomerId& aCustomer,
                                double aWeight,
                                Duration aInterval) const
{
  if (mSize == 0) {
    return Duration::zero();
  }
  if (const Flow* flow = Find(aCustomer)) {
    return WaitAtPosition(*flow, flow->mRequests.size(), aInterval);
  }
  return WaitByWeights(0, aWeight, mWeights + aWeight, aInterval);
}

bool FairBand::ExceedsFairShare(const CustomerId& aCustomer,
                                double aWeight,
                                std::size_t aCapacity) const
{
  const Flow* flow = Find(aCustomer);
  const double weights = mWeights + (flow == nullptr ? aWeight : 0);
  const double share = static_cast<double>(aCapacity) * aWeight / weights;
  const std::size_t held = flow == nullptr ? 0 : flow->mRequests.size();
  return static_cast<double>(held) >= share;
}

std::vector<std::pair<QueuedRequest, Duration>>
FairBand::TakeLate(Instant aNow, Duration aInterval, std::size_t aAhead)
{
  std::vector<std::pair<QueuedRequest, Duration>> taken;
  std::vector<CustomerId> emptied;
  const Duration waitAhead = aInterval * static_cast<Duration::rep>(aAhead);
  for (auto& [customer, flow] : mFlows) {
    std::deque<QueuedRequest> kept;
    for (QueuedRequest& request : flow.mRequests) {
      // The first request of a flow may get the next free slot.
      const Duration wait =
        waitAhead + (kept.empty()
                       ? Duration::zero()
                       : WaitAtPosition(flow, kept.size() - 1, aInterval));
      if (request.mDeadline <= aNow || wait >= request.mDeadline - aNow) {
        taken.emplace_back(std::move(request), wait);
      } else {
        kept.push_back(std::move(request));
      }
    }
    flow.mRequests = std::move(kept);
    if (flow.mRequests.empty()) {
      emptied.push_back(customer);
    }
  }
  mSize -= taken.size();
  std::for_each(emptied.begin(), emptied.end(), [this](const auto& aCustomer) {
    RemoveFlow(aCustomer);
  });
  return taken;
}

} // namespace foxtailbarrow
