#pragma once

#include <cstdint>

#include "foxtailbarrow/Time.h"
#include "src/platform/store/StoreCall.h"
#include "src/platform/store/StoreFaults.h"

namespace foxtailbarrow {

/// Result of fault injection for one call to a test store.
enum class FaultDecision : std::uint8_t
{
  Proceed,   ///< Applied and answered.
  Refuse,    ///< Not applied: over the rate limit.
  Outage,    ///< Not applied: the store is down.
  LoseReply, ///< Applied, not answered.
};

/// Applies the configured faults to each call. A rate limit allows a burst of
/// one second's calls. Pure: the time is passed in. Not synchronised.
class FaultInjector
{
public:
  void Set(const StoreFaults& aFaults, Instant aNow);
  const StoreFaults& Faults() const { return mFaults; }

  FaultDecision Decide(StoreCall aCall, Instant aNow);

private:
  struct RateLimit
  {
    double mTokens = 0;
    Instant mFilledAt;

    void Fill(std::uint64_t aPerSecond, Instant aNow);
    bool TryTake(std::uint64_t aPerSecond, Instant aNow);
  };

  bool TryTakeToken(StoreCall aCall, Instant aNow);

  StoreFaults mFaults;
  RateLimit mWrites;
  RateLimit mReads;
};

} // namespace foxtailbarrow
