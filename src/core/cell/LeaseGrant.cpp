#include "src/core/cell/LeaseGrant.h"

#include <algorithm>

namespace foxtailbarrow::cell {

namespace {

/// A worker's clock may be 2 % slow: it counts so much less than true time.
constexpr double kMinClockRate = 0.98;

} // namespace

void LeaseGrant::Extend(Instant aSentAt, Duration aGrant)
{
  mEnd = std::max(mEnd, aSentAt + aGrant);
}

void LeaseGrant::SampleClock(WorkerTimeMs aClock, Instant aReceivedAt)
{
  mSample = Sample{ aClock, aReceivedAt };
}

std::optional<WorkerTimeMs> LeaseGrant::LeaseEnd(Instant aNow)
{
  if (!mSample || mEnd <= aNow) {
    return std::nullopt;
  }
  // The clock showed the sample at its receipt or before, so that counting from
  // the receipt errs to the short side.
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
    mEnd - mSample->mReceivedAt);
  mSentEnd = std::max(mSentEnd, mEnd);
  return mSample->mClock + static_cast<WorkerTimeMs>(
                             static_cast<double>(left.count()) * kMinClockRate);
}

Duration LeaseGrant::LeaseLeft(Instant aNow) const
{
  return std::max(Duration::zero(), Duration(mSentEnd - aNow));
}

void LeaseGrant::ResetWorker()
{
  mSample.reset();
  mSentEnd = {};
}

} // namespace foxtailbarrow::cell
