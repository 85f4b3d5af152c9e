#include "src/core/cell/workers/LeaseGrant.h"

#include <algorithm>

namespace foxtailbarrow::cell {

namespace {

/// A worker's clock may be 2 % slow compared to true time.
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
  // The worker read its clock before the sample was received, so counting from
  // the receipt can only shorten the lease.
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
