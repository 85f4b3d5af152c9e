#include "src/core/job/DecisionLog.h"

namespace foxtailbarrow {

namespace {

bool Repeats(const Decision& aLeft, const Decision& aRight)
{
  return aLeft.mEpoch == aRight.mEpoch && aLeft.mWorker == aRight.mWorker &&
         aLeft.mState == aRight.mState && aLeft.mReason == aRight.mReason;
}

} // namespace

void DecisionLog::Add(const Decision& aDecision)
{
  if (!mEntries.empty() && Repeats(mEntries.back(), aDecision)) {
    mEntries.back().mAt = aDecision.mAt;
    ++mEntries.back().mTimes;
    return;
  }
  if (mEntries.size() == kLimit) {
    mEntries.erase(mEntries.begin());
  }
  mEntries.push_back(aDecision);
}

} // namespace foxtailbarrow
