#include "src/platform/store/FaultGate.h"

#include <algorithm>
#include <chrono>

namespace foxtailbarrow {

void FaultGate::Ceiling::Fill(std::uint64_t aPerSecond, Instant aNow)
{
  mTokens = static_cast<double>(aPerSecond);
  mFilledAt = aNow;
}

bool FaultGate::Ceiling::Take(std::uint64_t aPerSecond, Instant aNow)
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

void FaultGate::Set(const StoreFaults& aFaults, Instant aNow)
{
  mFaults = aFaults;
  mWrites.Fill(aFaults.mWritesPerSecond, aNow);
  mReads.Fill(aFaults.mReadsPerSecond, aNow);
}

bool FaultGate::TakeToken(StoreCall aCall, Instant aNow)
{
  return IsWrite(aCall) ? mWrites.Take(mFaults.mWritesPerSecond, aNow)
                        : mReads.Take(mFaults.mReadsPerSecond, aNow);
}

CallFate FaultGate::Decide(StoreCall aCall, Instant aNow)
{
  if (mFaults.mOutage) {
    return CallFate::Outage;
  }
  if (!TakeToken(aCall, aNow)) {
    return CallFate::Refuse;
  }
  if (IsWrite(aCall) && mFaults.mLoseReplies > 0) {
    --mFaults.mLoseReplies;
    return CallFate::LoseReply;
  }
  return CallFate::Proceed;
}

} // namespace foxtailbarrow
