#pragma once

#include <cstdint>

#include "foxtailbarrow/Time.h"
#include "src/platform/store/StoreCall.h"
#include "src/platform/store/StoreFaults.h"

namespace foxtailbarrow {

/// What becomes of one call to a store for tests.
enum class FaultDecision : std::uint8_t
{
  Proceed,   ///< Applied and answered.
  Refuse,    ///< Not applied: over the rate ceiling.
  Outage,    ///< Not applied: the store is down.
  LoseReply, ///< Applied, not answered.
};

/// Decides the fate of each call from the faults in force. A ceiling allows a
/// burst of one second's calls. Pure: the time is passed in. Not synchronised.
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
