#include "src/platform/store/FaultInjector.h"

#include <algorithm>
#include <chrono>

namespace foxtailbarrow {

void FaultInjector::RateLimit::Fill(std::uint64_t aPerSecond, Instant aNow)
{
  mTokens = static_cast<double>(aPerSecond);
  mFilledAt = aNow;
}

bool FaultInjector::RateLimit::TryTake(std::uint64_t aPerSecond, Instant aNow)
{
  if (aPerSecond == 0) {
    return true;
  }
  const auto rate = static_cast<double>(aPerSecond);
  const std::chrono::duration<double> elapsed = aNow - mFilledAt;
  mTokens = std::min(rate, mTokens + elapsed.count() * rate);
  mFilledAt = aNow;
  if (mTokens < 1) {
    return false;
  }
  mTokens -= 1;
  return true;
}

void FaultInjector::Set(const StoreFaults& aFaults, Instant aNow)
{
  mFaults = aFaults;
  mWrites.Fill(aFaults.mWritesPerSecond, aNow);
  mReads.Fill(aFaults.mReadsPerSecond, aNow);
}

bool FaultInjector::TryTakeToken(StoreCall aCall, Instant aNow)
{
  return IsWrite(aCall) ? mWrites.TryTake(mFaults.mWritesPerSecond, aNow)
                        : mReads.TryTake(mFaults.mReadsPerSecond, aNow);
}

FaultDecision FaultInjector::Decide(StoreCall aCall, Instant aNow)
{
  if (mFaults.mOutage) {
    return FaultDecision::Outage;
  }
  if (!TryTakeToken(aCall, aNow)) {
    return FaultDecision::Refuse;
  }
  if (IsWrite(aCall) && mFaults.mLoseReplies > 0) {
    --mFaults.mLoseReplies;
    return FaultDecision::LoseReply;
  }
  return FaultDecision::Proceed;
}

} // namespace foxtailbarrow
