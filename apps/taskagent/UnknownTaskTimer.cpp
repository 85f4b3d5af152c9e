#include "apps/taskagent/UnknownTaskTimer.h"

#include <algorithm>

namespace foxtailbarrow::taskagent {

bool UnknownTaskTimer::Update(bool aUnknown, Instant aNow)
{
  if (!aUnknown) {
    mSince.reset();
    mPause = kShortest;
    return false;
  }
  if (!mSince) {
    mSince = aNow;
  }
  if (aNow - *mSince < mPause) {
    return false;
  }
  mSince = aNow;
  mPause = std::min<Duration>(2 * mPause, kLongest);
  return true;
}

} // namespace foxtailbarrow::taskagent
