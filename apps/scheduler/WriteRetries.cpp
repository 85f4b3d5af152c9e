#include "apps/scheduler/WriteRetries.h"

#include <chrono>

#include <boost/fiber/operations.hpp>

#include "apps/scheduler/JobRefusals.h"
#include "foxtailbarrow/Verdict.h"

namespace foxtailbarrow::scheduler {

namespace {

constexpr Duration kRetryPause = std::chrono::milliseconds(40);
/// Duration of a call that the store does not answer. A retry that would end
/// after the caller's deadline would only delay the answer.
constexpr Duration kUnansweredCallTime = std::chrono::milliseconds(1000);
/// Refusals by the store after which the caller is asked to retry later, since
/// an outage outlasts the caller's deadline.
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
  const Duration next =
    mMayHaveRun ? kRetryPause + kUnansweredCallTime : kRetryPause;
  if (MonotonicNow() + next >= mDeadline ||
      (!mMayHaveRun && mRefusals >= kMaxRefusals)) {
    return false;
  }
  boost::this_fiber::sleep_for(kRetryPause);
  return true;
}

cell::JobRefused WriteRetries::Refusal() const
{
  return mMayHaveRun ? OutcomeUnknown(mLast) : StoreUnavailable(mLast);
}

} // namespace foxtailbarrow::scheduler
