#pragma once

#include "foxtailbarrow/Contract.h"
#include "src/core/admission/AdmissionDecision.h"
#include "src/core/admission/ConcurrencyGate.h"
#include "src/core/admission/ShareAllocation.h"
#include "src/core/admission/TokenBucket.h"

namespace foxtailbarrow {

/// Inputs of an admission decision besides the contract and the share.
struct AdmissionRequest
{
  Instant mNow{};
  Instant mDeadline = Instant::max();
  Duration mExpectedWait{}; ///< From admission to start; 0 = none.
  double mJitter = 0;       ///< Uniform in 0..1, drawn by the caller.
};

/// Admits or refuses requests of one customer at this entry, by the entry's
/// shares of the contract's concurrency and rate. Thread-safe and lock-free.
/// Keep one object per customer while requests are in progress, also across
/// changes of its contract.
///
/// When the share shrinks, admitted requests continue, and no new one is
/// admitted until their number is below the share.
class CustomerAdmission
{
public:
  AdmissionDecision Decide(const Contract& aContract,
                           const ShareAllocation& aAllocation,
                           const AdmissionRequest& aRequest);

  /// An admitted request has ended, whatever its outcome.
  void Finish(Instant aNow) { mGate.Leave(aNow); }

  std::int64_t InProgress() const { return mGate.InProgress(); }

private:
  ConcurrencyGate mGate;
  TokenBucket mBucket;
};

/// This entry's share of the contract's rate and burst. The burst share is at
/// least 1, since tokens are taken one at a time; the shares of all entries add
/// up to at most the contract's burst plus one per entry.
BucketLimit RateShare(const Contract& aContract,
                      const ShareAllocation& aAllocation,
                      Instant aNow);

} // namespace foxtailbarrow
