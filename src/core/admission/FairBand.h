#pragma once

#include <cstddef>
#include <deque>
#include <utility>
#include <vector>

#include "absl/container/btree_set.h"
#include "absl/container/flat_hash_map.h"

#include "src/core/admission/DequeueRate.h"
#include "src/core/admission/QueuedRequest.h"

namespace foxtailbarrow {

/// Queue of the requests of one priority, ordered by self-clocked fair
/// queueing: customers with queued requests are served in proportion to their
/// weights, and the requests of each in FIFO order. An idle customer
/// accumulates no credit.
class FairBand
{
public:
  void Push(QueuedRequest aRequest);

  /// The band must not be empty.
  QueuedRequest Pop(Instant aNow);

  /// Removes the newest request of the customer whose queue is the longest in
  /// proportion to its weight. The band must not be empty.
  QueuedRequest TakeNewestOfLargest();

  /// Removes the requests that would start after their deadlines and returns
  /// them with their expected waits. `aInterval` is the time between two
  /// starts, `aAhead` the number of requests in a higher band, which go first.
  std::vector<std::pair<QueuedRequest, Duration>> TakeLate(Instant aNow,
                                                           Duration aInterval,
                                                           std::size_t aAhead);

  /// Time until a further request of this customer would start.
  Duration ExpectedWait(const CustomerId& aCustomer,
                        double aWeight,
                        Duration aInterval) const;

  /// True when the customer holds at least its fair share of a full queue.
  bool ExceedsFairShare(const CustomerId& aCustomer,
                        double aWeight,
                        std::size_t aCapacity) const;

  std::size_t Size() const { return mSize; }

private:
  struct Flow
  {
    std::deque<QueuedRequest> mRequests;
    double mWeight = 1;
    double mTag = 0;   ///< Virtual finish time of the first request.
    DequeueRate mRate; ///< Of this customer, since its queue was last empty.
  };

  /// Wait of a request with `aPosition` others of its customer ahead.
  Duration WaitAtPosition(const Flow& aFlow,
                          std::size_t aPosition,
                          Duration aInterval) const;
  Duration WaitByWeights(std::size_t aPosition,
                         double aWeight,
                         double aWeights,
                         Duration aInterval) const;
  const Flow* Find(const CustomerId& aCustomer) const;
  void RemoveFlow(const CustomerId& aCustomer);

  absl::flat_hash_map<CustomerId, Flow> mFlows; ///< With queued requests.
  absl::btree_set<std::pair<double, CustomerId>> mOrder;
  double mVirtualNow = 0;
  double mWeights = 0; ///< Sum over mFlows.
  std::size_t mSize = 0;
};

} // namespace foxtailbarrow
