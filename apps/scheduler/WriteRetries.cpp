#include "apps/scheduler/WriteRetries.h"

#include <chrono>

#include <boost/fiber/operations.hpp>

#include "apps/scheduler/JobRefusals.h"
#include "foxtailbarrow/Verdict.h"

namespace foxtailbarrow::scheduler {

namespace {

constexpr Duration kRetryPause = std::chrono::milliseconds(40);
/// A call that the store does not answer takes so long: another try that would
/// end after the caller's time only delays the answer.
constexpr Duration kSilentCall = std::chrono::milliseconds(1000);
/// Refusals of the store after which the caller is told to come back: an
/// outage lasts longer than the caller waits.
constexpr int kMaxRefusals = 2;

} // namespace

void WriteRetries::OnFailure(const absl::Status& aStatus)
{
  mLast = aStatus;
  mMayHaveRun = mMayHaveRun || VerdictOf(aStatus) != Verdict::NotRun;
}

bool WriteRetries::WaitToRetry(const absl::Status& aStatus)
{
  OnFailure(aStatus);
  mRefusals += VerdictOf(aStatus) == Verdict::NotRun ? 1 : 0;
  const Duration next = mMayHaveRun ? kRetryPause + kSilentCall : kRetryPause;
  if (MonotonicNow() + next >= mDeadline ||
      (!mMayHaveRun && mRefusals >= kMaxRefusals)) {
    return false;
  }
  boost::this_fiber::sleep_for(kRetryPause);
  return true;
}

cell::JobRefused WriteRetries::Refusal() const
{
  return mMayHaveRun ? FateUnknown(mLast) : StoreUnavailable(mLast);
}

} // namespace foxtailbarrow::scheduler
