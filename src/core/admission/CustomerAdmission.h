#pragma once

#include "foxtailbarrow/Contract.h"
#include "src/core/admission/AdmissionDecision.h"
#include "src/core/admission/ConcurrencyGate.h"
#include "src/core/admission/ShareAllocation.h"
#include "src/core/admission/TokenBucket.h"

namespace foxtailbarrow {

/// What the decision on one request depends on, besides the contract.
struct AdmissionRequest
{
  Instant mNow{};
  Instant mDeadline = Instant::max();
  Duration mExpectedWait{}; ///< Before it starts, once admitted; 0 = none.
  double mJitter = 0;       ///< Uniform in 0..1, drawn by the caller.
};

/// Decides whether a request of one customer may enter at this entry, by the
/// entry's shares of the contract's concurrency and rate. For several threads
/// without a lock; keep one object a customer as long as requests are in
/// progress, also across changes of its contract.
///
/// Requests admitted under a larger share run on when the share shrinks; no new
/// one enters until their number is below it.
class CustomerAdmission
{
public:
  AdmissionDecision Decide(const Contract& aContract,
                           const ShareAllocation& aAllocation,
                           const AdmissionRequest& aRequest);

  /// An admitted request has ended, with whatever outcome.
  void Finish(Instant aNow) { mGate.Leave(aNow); }

  std::int64_t InProgress() const { return mGate.InProgress(); }

private:
  ConcurrencyGate mGate;
  TokenBucket mBucket;
};

/// This entry's part of the contract's rate and burst. A burst share is at
/// least 1 where the rate share is above 0, so that tokens can be taken one at
/// a time; all bursts together are at most the contract's plus one an entry.
BucketLimit RateShare(const Contract& aContract,
                      const ShareAllocation& aAllocation,
                      Instant aNow);

} // namespace foxtailbarrow
