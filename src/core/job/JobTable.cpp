#include "src/core/job/JobTable.h"

#include <algorithm>
#include <utility>

namespace foxtailbarrow {

JobEntry* JobTable::Find(const JobId& aJob)
{
  return const_cast<JobEntry*>(std::as_const(*this).Find(aJob));
}

const JobEntry* JobTable::Find(const JobId& aJob) const
{
  const auto found = mEntries.find(aJob);
  return found == mEntries.end() ? nullptr : found->second.get();
}

JobEntry& JobTable::Insert(ShardId aShard, StoredJob aJob)
{
  auto entry = std::make_unique<JobEntry>();
  entry->mShard = aShard;
  entry->mSerial = ++mLastSerial;
  entry->mSeenRevision = aJob.mRevision;
  entry->mStored = std::move(aJob);
  JobEntry& added = *entry;
  mEntries.emplace(added.Spec().mId, std::move(entry));
  return added;
}

void JobTable::Erase(const JobId& aJob)
{
  const auto found = mEntries.find(aJob);
  Cancel(*found->second);
  mEntries.erase(found);
}

void JobTable::Cancel(JobEntry& aEntry)
{
  if (aEntry.mTimerAt != Instant{}) {
    mTimers.erase({ aEntry.mTimerAt, aEntry.mSerial, &aEntry });
    aEntry.mTimerAt = Instant{};
  }
}

void JobTable::SetTimer(JobEntry& aEntry, Instant aAt)
{
  Cancel(aEntry);
  aEntry.mTimerAt = aAt;
  mTimers.insert({ aAt, aEntry.mSerial, &aEntry });
}

JobEntry* JobTable::PopDue(Instant aNow)
{
  if (mTimers.empty() || mTimers.begin()->mAt > aNow) {
    return nullptr;
  }
  JobEntry* entry = mTimers.begin()->mEntry;
  Cancel(*entry);
  return entry;
}

std::vector<JobId> JobTable::JobsOf(ShardId aShard) const
{
  std::vector<JobId> jobs;
  for (const auto& [job, entry] : mEntries) {
    if (entry->mShard == aShard) {
      jobs.push_back(job);
    }
  }
  std::ranges::sort(jobs);
  return jobs;
}

} // namespace foxtailbarrow
