#include "src/core/cell/PollIntervalEstimator.h"

#include <chrono>

namespace foxtailbarrow::cell {

namespace {

/// A machine that was late may be late again for so long.
constexpr Duration kRemembered = std::chrono::seconds(10);

} // namespace

void PollIntervalEstimator::Update(Instant aNow)
{
  if (mLastPoll) {
    const Duration gap = aNow - *mLastPoll;
    if (gap >= mLongest || aNow - mLongestAt > kRemembered) {
      mLongest = gap;
      mLongestAt = aNow;
    }
  }
  mLastPoll = aNow;
}

} // namespace foxtailbarrow::cell
