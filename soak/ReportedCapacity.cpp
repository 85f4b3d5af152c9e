#include "soak/ReportedCapacity.h"

#include <algorithm>

namespace foxtailbarrow::soak {

ReportedCapacity::ReportedCapacity(Resources aInitial)
{
  mHeartbeats.push_back({ 0, aInitial, Instant::min() });
}

void ReportedCapacity::OnSent(std::int64_t aNumber, const Resources& aCapacity)
{
  mHeartbeats.push_back({ aNumber, aCapacity });
}

void ReportedCapacity::OnAnswered(std::int64_t aNumber, Instant aNow)
{
  for (Heartbeat& heartbeat : mHeartbeats) {
    if (heartbeat.mNumber == aNumber) {
      heartbeat.mAnsweredAt = aNow;
    }
  }
}

bool ReportedCapacity::Allows(const Resources& aUsed, Instant aNow)
{
  const auto inEffect = std::find_if(
    mHeartbeats.rbegin(), mHeartbeats.rend(), [&](const Heartbeat& aHeartbeat) {
      return aHeartbeat.mAnsweredAt < aNow - kMaxStartDelay;
    });
  if (inEffect != mHeartbeats.rend()) {
    mHeartbeats.erase(mHeartbeats.begin(), std::prev(inEffect.base()));
  }
  return std::ranges::any_of(mHeartbeats, [&](const Heartbeat& aHeartbeat) {
    return aUsed.FitsIn(aHeartbeat.mCapacity);
  });
}

} // namespace foxtailbarrow::soak
