#include "apps/taskagent/UnknownTaskTimer.h"

#include <algorithm>

namespace foxtailbarrow::taskagent {

bool UnknownTaskTimer::Update(bool aUnknown, Instant aNow)
{
  if (!aUnknown) {
    mWaitingSince.reset();
    mPause = kMinPause;
    return false;
  }
  if (!mWaitingSince) {
    mWaitingSince = aNow;
  }
  if (aNow - *mWaitingSince < mPause) {
    return false;
  }
  mWaitingSince = aNow;
  mPause = std::min<Duration>(2 * mPause, kMaxPause);
  return true;
}

} // namespace foxtailbarrow::taskagent
