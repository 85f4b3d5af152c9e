#pragma once

#include "src/core/admission/DequeueRate.h"
#include "src/core/admission/FairBand.h"
#include "src/core/admission/QueuedRequest.h"

namespace foxtailbarrow {

/// Decides which request gets the next free slot when there are more requests
/// than slots: fair among customers by weight, latency-critical before batch,
/// bounded. One object a service; not for several threads at once.
///
/// Promises: a request that is given up is named at once, with the time at
/// which its caller may come back: on arrival when it could not start before
/// its deadline or its customer holds more than its part of a full queue; later
/// when the queue turns out slower (Sweep()) or a customer below its part needs
/// the room. No request is both refused and handed out.
class FairQueue
{
public:
  explicit FairQueue(QueueSettings aSettings);

  /// Queues a request. Returns those given up: none, this one or another.
  std::vector<QueueRefusal> Offer(Instant aNow, QueuedRequest aRequest);

  /// A slot is free.
  QueuePop Pop(Instant aNow);

  /// Gives up the requests that cannot start before their deadlines any more.
  /// Call every few milliseconds while Size() > 0; costs O(Size()).
  std::vector<QueueRefusal> Sweep(Instant aNow);

  /// Until a further request of this customer would start.
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
