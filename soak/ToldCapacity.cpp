#include "soak/ToldCapacity.h"

#include <algorithm>

namespace foxtailbarrow::soak {

ToldCapacity::ToldCapacity(Resources aFirst)
{
  mBeats.push_back({ 0, aFirst, Instant::min() });
}

void ToldCapacity::Sent(std::int64_t aNumber, const Resources& aCapacity)
{
  mBeats.push_back({ aNumber, aCapacity });
}

void ToldCapacity::Answered(std::int64_t aNumber, Instant aNow)
{
  for (Beat& beat : mBeats) {
    if (beat.mNumber == aNumber) {
      beat.mAnsweredAt = aNow;
    }
  }
}

bool ToldCapacity::Allows(const Resources& aUsed, Instant aNow)
{
  const auto settled =
    std::find_if(mBeats.rbegin(), mBeats.rend(), [&](const Beat& aBeat) {
      return aBeat.mAnsweredAt < aNow - kOnItsWay;
    });
  if (settled != mBeats.rend()) {
    mBeats.erase(mBeats.begin(), std::prev(settled.base()));
  }
  return std::ranges::any_of(
    mBeats, [&](const Beat& aBeat) { return aUsed.FitsIn(aBeat.mCapacity); });
}

} // namespace foxtailbarrow::soak
