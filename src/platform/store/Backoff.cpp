#include "src/platform/store/Backoff.h"

#include <algorithm>

#include "absl/random/distributions.h"

namespace foxtailbarrow {

Backoff::Backoff(BackoffLimits aLimits)
  : mLimits(aLimits)
  , mCeiling(aLimits.mMin)
{
}

Duration Backoff::Next(absl::BitGenRef aRandom)
{
  mCeiling = std::min(mCeiling * 2, mLimits.mMax);
  return Duration(absl::Uniform(
    absl::IntervalClosed, aRandom, mLimits.mMin.count(), mCeiling.count()));
}

} // namespace foxtailbarrow
