#include "apps/replay/JobTracker.h"

#include <utility>

namespace foxtailbarrow::replay {

namespace {

bool HasExpectedEnd(const ReplayedJob& aJob)
{
  return aJob.mState == aJob.mExpectedEnd;
}

} // namespace

void JobTracker::OnAccepted(const TraceJob& aLine, std::string aId)
{
  ReplayedJob job;
  job.mLineId = aLine.mId;
  job.mExpectedEnd = aLine.mEndState;
  job.mId = std::move(aId);
  const std::lock_guard lock(mMutex);
  mJobs.insert_or_assign(aLine.mId, std::move(job));
}

void JobTracker::OnRefused(const TraceJob& aLine)
{
  OnAccepted(aLine, {});
}

std::string JobTracker::IdOf(const JobId& aLineId) const
{
  const std::lock_guard lock(mMutex);
  const auto found = mJobs.find(aLineId);
  return found == mJobs.end() ? std::string() : found->second.mId;
}

void JobTracker::OnState(const JobId& aLineId,
                         JobState aState,
                         const std::string& aReason,
                         std::int64_t aEvictions)
{
  const std::lock_guard lock(mMutex);
  ReplayedJob& job = mJobs[aLineId];
  job.mState = aState;
  job.mReason = aReason;
  job.mEvictions = aEvictions;
  job.mUnknown = false;
}

void JobTracker::OnUnknown(const JobId& aLineId)
{
  const std::lock_guard lock(mMutex);
  mJobs[aLineId].mUnknown = true;
}

std::vector<ReplayedJob> JobTracker::Open() const
{
  std::vector<ReplayedJob> open;
  const std::lock_guard lock(mMutex);
  for (const auto& [id, job] : mJobs) {
    if (!job.mId.empty() && !HasExpectedEnd(job)) {
      open.push_back(job);
    }
  }
  return open;
}

void JobTracker::AddTo(ReplayTotals& aTotals) const
{
  const std::lock_guard lock(mMutex);
  for (const auto& [id, job] : mJobs) {
    ++(job.mId.empty() ? aTotals.mJobsRefused : aTotals.mJobs);
    aTotals.mJobsAsExpected += HasExpectedEnd(job) ? 1 : 0;
    aTotals.mLostJobs += job.mUnknown ? 1 : 0;
    aTotals.mEvictions += job.mEvictions;
  }
}

std::vector<std::string> JobTracker::Ids() const
{
  std::vector<std::string> ids;
  const std::lock_guard lock(mMutex);
  for (const auto& [id, job] : mJobs) {
    if (!job.mId.empty()) {
      ids.push_back(job.mId);
    }
  }
  return ids;
}

} // namespace foxtailbarrow::replay
