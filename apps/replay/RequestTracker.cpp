#include "apps/replay/RequestTracker.h"

#include <utility>

namespace foxtailbarrow::replay {

namespace {

constexpr double kP50 = 0.5;
constexpr double kP99 = 0.99;
constexpr double kP999 = 0.999;

std::int64_t& CounterOf(AttemptEnd aEnd, ReplayTotals& aTotals)
{
  switch (aEnd) {
    case AttemptEnd::Answered:
      return aTotals.mAnswered;
    case AttemptEnd::Failed:
      return aTotals.mErrors;
    case AttemptEnd::NotRun:
      return aTotals.mNotRun;
    case AttemptEnd::MayHaveRun:
      return aTotals.mMayHaveRun;
    case AttemptEnd::WrongAnswer:
      return aTotals.mWrongAnswers;
    case AttemptEnd::Unanswered:
      break;
  }
  return aTotals.mUnanswered;
}

} // namespace

void RequestTracker::OnDue()
{
  const std::lock_guard lock(mMutex);
  ++mBegun;
}

void RequestTracker::OnEnded(AttemptedRequest aRequest, Duration aLatency)
{
  const AttemptEnd end = aRequest.mAttempts.back().mEnd;
  const std::lock_guard lock(mMutex);
  ++CounterOf(end, mTotals);
  for (const Attempt& attempt : aRequest.mAttempts) {
    if (!attempt.mReason.empty()) {
      ++mTotals.mRefusals[attempt.mReason];
    }
  }
  mTotals.mRetries += static_cast<std::int64_t>(aRequest.mAttempts.size()) - 1;
  if (end == AttemptEnd::Answered) {
    mLatency.Record(aLatency);
  }
  mRequests.push_back(std::move(aRequest));
}

std::int64_t RequestTracker::InProgress() const
{
  const std::lock_guard lock(mMutex);
  return mBegun - static_cast<std::int64_t>(mRequests.size());
}

void RequestTracker::AddTo(ReplayTotals& aTotals) const
{
  const std::lock_guard lock(mMutex);
  aTotals.mRequests = mBegun;
  aTotals.mAnswered = mTotals.mAnswered;
  aTotals.mErrors = mTotals.mErrors;
  aTotals.mNotRun = mTotals.mNotRun;
  aTotals.mMayHaveRun = mTotals.mMayHaveRun;
  aTotals.mWrongAnswers = mTotals.mWrongAnswers;
  aTotals.mUnanswered = mTotals.mUnanswered;
  aTotals.mRetries = mTotals.mRetries;
  aTotals.mRefusals = mTotals.mRefusals;
  aTotals.mP50 = mLatency.Quantile(kP50);
  aTotals.mP99 = mLatency.Quantile(kP99);
  aTotals.mP999 = mLatency.Quantile(kP999);
}

} // namespace foxtailbarrow::replay
