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

/// Requests of one priority in the order of self-clocked fair queueing: each
/// customer with requests waiting gets service in proportion to its weight, and
/// its own requests stay in order. A customer that was idle has saved up
/// nothing.
class FairBand
{
public:
  void Push(QueuedRequest aRequest);

  /// The band must not be empty.
  QueuedRequest Pop(Instant aNow);

  /// Takes the newest request of the customer with the longest queue for its
  /// weight. The band must not be empty.
  QueuedRequest TakeNewestOfLargest();

  /// Takes every request that would start after its deadline, given the time
  /// between two starts and the requests of a higher band that go first.
  std::vector<std::pair<QueuedRequest, Duration>> TakeLate(Instant aNow,
                                                           Duration aInterval,
                                                           std::size_t aAhead);

  /// Until a further request of this customer would start.
  Duration ExpectedWait(const CustomerId& aCustomer,
                        double aWeight,
                        Duration aInterval) const;

  /// True when the customer has more than its fair part of a full queue.
  bool ExceedsFairShare(const CustomerId& aCustomer,
                        double aWeight,
                        std::size_t aCapacity) const;

  std::size_t Size() const { return mSize; }

private:
  struct Flow
  {
    std::deque<QueuedRequest> mRequests;
    double mWeight = 1;
    double mTag = 0;   ///< Virtual time at which the first one is due.
    DequeueRate mRate; ///< Of this customer alone, since its queue was empty.
  };

  /// Of a request with `aPosition` others of its customer before it.
  Duration WaitAtPosition(const Flow& aFlow,
                          std::size_t aPosition,
                          Duration aInterval) const;
  Duration WaitByWeights(std::size_t aPosition,
                         double aWeight,
                         double aWeights,
                         Duration aInterval) const;
  const Flow* Find(const CustomerId& aCustomer) const;
  void Close(const CustomerId& aCustomer);

  absl::flat_hash_map<CustomerId, Flow> mFlows; ///< With requests waiting.
  absl::btree_set<std::pair<double, CustomerId>> mOrder;
  double mVirtualNow = 0;
  double mWeights = 0; ///< Sum over mFlows.
  std::size_t mSize = 0;
};

} // namespace foxtailbarrow
