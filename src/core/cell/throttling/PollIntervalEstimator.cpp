#include "src/core/cell/throttling/PollIntervalEstimator.h"

#include <chrono>

namespace foxtailbarrow::cell {

namespace {

/// How long a late poll is remembered: an overloaded machine is often late
/// again.
constexpr Duration kRemembered = std::chrono::seconds(10);

} // namespace

void PollIntervalEstimator::Update(Instant aNow)
{
  if (mLastPoll) {
    const Duration interval = aNow - *mLastPoll;
    if (interval >= mLongest || aNow - mLongestAt > kRemembered) {
      mLongest = interval;
      mLongestAt = aNow;
    }
  }
  mLastPoll = aNow;
}

} // namespace foxtailbarrow::cell
