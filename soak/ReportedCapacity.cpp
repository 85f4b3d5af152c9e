#include "soak/ReportedCapacity.h"

#include <algorithm>

namespace foxtailbarrow::soak {

ReportedCapacity::ReportedCapacity(Resources aFirst)
{
  mHeartbeats.push_back({ 0, aFirst, Instant::min() });
}

void ReportedCapacity::Sent(std::int64_t aNumber, const Resources& aCapacity)
{
  mHeartbeats.push_back({ aNumber, aCapacity });
}

void ReportedCapacity::Answered(std::int64_t aNumber, Instant aNow)
{
  for (Heartbeat& beat : mHeartbeats) {
    if (beat.mNumber == aNumber) {
      beat.mAnsweredAt = aNow;
    }
  }
}

bool ReportedCapacity::Allows(const Resources& aUsed, Instant aNow)
{
  const auto settled = std::find_if(
    mHeartbeats.rbegin(), mHeartbeats.rend(), [&](const Heartbeat& aBeat) {
      return aBeat.mAnsweredAt < aNow - kMaxStartDelay;
    });
  if (settled != mHeartbeats.rend()) {
    mHeartbeats.erase(mHeartbeats.begin(), std::prev(settled.base()));
  }
  return std::ranges::any_of(mHeartbeats, [&](const Heartbeat& aBeat) {
    return aUsed.FitsIn(aBeat.mCapacity);
  });
}

} // namespace foxtailbarrow::soak
