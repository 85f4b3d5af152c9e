#include "src/core/cell/CellScheduler.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace foxtailbarrow::cell {

namespace {

Instant DeadlineOf(const JobEntry& aJob)
{
  const double chain = static_cast<double>(CriticalPath(aJob.Graph()).count()) *
                       aJob.mPolicy.mStretch;
  return aJob.mAcceptedAt + Duration(static_cast<Duration::rep>(chain)) +
         aJob.mPolicy.mAllowance;
}

} // namespace

CellScheduler::CellScheduler(Generation aGeneration,
                             CellSettings aSettings,
                             DecisionSink aSink)
  : mGeneration(aGeneration)
  , mSettings(aSettings)
  , mSink(std::move(aSink))
  , mInterference(aSettings.mInterference)
{
}

void CellScheduler::SetQueues(const std::vector<QueuePolicy>& aQueues)
{
  mQueues.clear();
  for (const QueuePolicy& queue : aQueues) {
    mQueues.emplace(queue.mQueue, queue);
  }
  for (const JobId& id : mActiveJobs) {
    JobEntry& job = mJobs.at(id);
    if (const auto found = mQueues.find(job.Graph().mQueue);
        found != mQueues.end()) {
      if (!job.HasPolicy()) {
        mJobsWithNewPolicy.insert(id);
        mNeedsPlacement = true;
      }
      job.mPolicy = found->second;
      job.mDeadline = DeadlineOf(job);
    }
  }
}

void CellScheduler::AddJob(const StoredJob& aStored,
                           const StoredProgress& aProgress,
                           Revision aProgressRevision,
                           const CellClock& aClock)
{
  const JobId& id = aStored.mGraph.mId;
  if (mJobs.contains(id)) {
    if (aStored.mCancelled) {
      CancelJob(id, aClock);
    }
    return;
  }
  QueuePolicy policy;
  if (const auto found = mQueues.find(aStored.mGraph.mQueue);
      found != mQueues.end()) {
    policy = found->second;
  }
  JobEntry& job =
    mJobs.emplace(id, MakeJobEntry(aStored, aProgress, std::move(policy)))
      .first->second;
  const std::int64_t ageMs =
    std::max<std::int64_t>(0, aClock.mUnixMs - aStored.mAcceptedUnixMs);
  job.mAcceptedAt = aClock.mNow - std::chrono::milliseconds(ageMs);
  job.mDeadline = DeadlineOf(job);
  UpdateJobBytes(job, MemoryOf(job.Graph()));
  job.mInherited = aProgressRevision != 0;
  job.mProgressRevision = aProgressRevision;
  if (job.Final()) {
    // Not logged: at a takeover one line per ended job would crowd out others.
    return;
  }
  mSink({ .mEvent = "job-known",
          .mJob = id,
          .mReason = ToString(job.mPhase),
          .mAgeMs = ageMs });
  mActiveJobs.insert(id);
  if (aStored.mCancelled) {
    CancelJob(id, aClock);
  } else if (!job.mInherited) {
    MarkUnsaved(job, aClock.mNow);
  }
}

void CellScheduler::CancelJob(const JobId& aJob, const CellClock& aClock)
{
  const auto found = mJobs.find(aJob);
  if (found == mJobs.end() || found->second.Final()) {
    return;
  }
  found->second.mStored.mCancelled = true;
  FinishJob(found->second, JobPhase::Cancelled, aClock);
}

void CellScheduler::DropJob(const JobId& aJob)
{
  if (const auto found = mJobs.find(aJob); found != mJobs.end()) {
    UpdateJobBytes(found->second, 0);
    mJobs.erase(found);
  }
  mActiveJobs.erase(aJob);
  mUnsaved.erase(aJob);
  mToCompact.erase(aJob);
}

void CellScheduler::UpdateJobBytes(JobEntry& aJob, std::size_t aBytes)
{
  mJobBytes += aBytes;
  mJobBytes -= std::exchange(aJob.mBytes, aBytes);
}

/// Releases what the jobs that have changed no longer need. Not done at the
/// change itself, which may be in a loop over the same entries.
void CellScheduler::CompactJobs()
{
  for (const JobId& id : mToCompact) {
    if (const auto found = mJobs.find(id); found != mJobs.end()) {
      JobEntry& job = found->second;
      job.Compact();
      UpdateJobBytes(job, MemoryOf(job.Graph()));
    }
  }
  mToCompact.clear();
}

void CellScheduler::MarkUnsaved(JobEntry& aJob, Instant aNow)
{
  ++aJob.mVersion;
  if (mUnsaved.insert(aJob.Graph().mId).second) {
    aJob.mUnsavedSince = aNow;
  }
}

void CellScheduler::FinishJob(JobEntry& aJob,
                              JobPhase aPhase,
                              const CellClock& aClock)
{
  aJob.mPhase = aPhase;
  aJob.mEndedUnixMs = aClock.mUnixMs;
  mActiveJobs.erase(aJob.Graph().mId);
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
    aClock.mNow - aJob.mAcceptedAt);
  mSink({ .mEvent = "job-end",
          .mJob = aJob.Graph().mId,
          .mReason = ToString(aPhase),
          .mAgeMs = age.count() });
  StopRuns(aJob, aClock);
  MarkUnsaved(aJob, aClock.mNow);
  mToCompact.insert(aJob.Graph().mId);
}

void CellScheduler::StopRuns(JobEntry& aJob, const CellClock& aClock)
{
  for (auto& [number, occurrence] : aJob.mOpen) {
    TaskRef task{ aJob.Graph().mId, number, 0, 0 };
    for (StepEntry& step : occurrence.mSteps) {
      for (auto& [index, entry] : step.Touched()) {
        task.mIndex = index;
        for (TaskRun& run : entry.mRuns) {
          StopRun(run, task, "job-ended", aClock);
        }
      }
      ++task.mStep;
    }
  }
}

std::vector<UnsavedProgress> CellScheduler::UnsavedJobs(
  std::size_t aMaxJobs) const
{
  std::vector<UnsavedProgress> unsaved;
  for (const JobId& id : mUnsaved) {
    if (unsaved.size() == aMaxJobs) {
      break;
    }
    const JobEntry& job = mJobs.at(id);
    unsaved.push_back({ id,
                        job.mVersion,
                        ProgressOf(job),
                        job.mProgressRevision,
                        job.mUnsavedSince });
  }
  return unsaved;
}

void CellScheduler::OnProgressSaved(const JobId& aJob,
                                    std::uint64_t aVersion,
                                    Revision aRevision)
{
  const auto found = mJobs.find(aJob);
  if (found == mJobs.end()) {
    return;
  }
  JobEntry& job = found->second;
  job.mSavedVersion = std::max(job.mSavedVersion, aVersion);
  job.mProgressRevision = aRevision;
  job.mSaveInDoubt = false;
  if (job.mSavedVersion >= job.mVersion) {
    mUnsaved.erase(aJob);
    if (job.Final()) {
      mToCompact.insert(aJob);
    }
  }
}

void CellScheduler::OnProgressSaveInDoubt(const JobId& aJob)
{
  if (const auto found = mJobs.find(aJob); found != mJobs.end()) {
    found->second.mSaveInDoubt = true;
  }
}

void CellScheduler::SetProgressRevision(const JobId& aJob, Revision aRevision)
{
  if (const auto found = mJobs.find(aJob); found != mJobs.end()) {
    found->second.mProgressRevision = aRevision;
  }
}

std::uint64_t CellScheduler::SavedVersion(const JobId& aJob) const
{
  const auto found = mJobs.find(aJob);
  return found == mJobs.end() ? std::numeric_limits<std::uint64_t>::max()
                              : found->second.mSavedVersion;
}

std::int64_t CellScheduler::Acknowledged(const AgentId& aAgent)
{
  const auto found = mWorkers.find(aAgent);
  if (found == mWorkers.end()) {
    return 0;
  }
  return found->second.mEnds.Acknowledge(
    [this](const JobId& aJob) { return SavedVersion(aJob); });
}

std::optional<JobPhase> CellScheduler::PhaseOf(const JobId& aJob) const
{
  const auto found = mJobs.find(aJob);
  if (found == mJobs.end()) {
    return std::nullopt;
  }
  const JobEntry& job = found->second;
  const bool isUnsaved = job.mSavedVersion < job.mVersion;
  if (isUnsaved && job.Final()) {
    // The write may have arrived: a caller who read the store may already know
    // the end.
    return job.mSaveInDoubt ? std::nullopt : std::optional(JobPhase::Running);
  }
  return job.mPhase;
}

std::int64_t CellScheduler::WaitingJobs(const QueueId& aQueue) const
{
  return std::ranges::count_if(mActiveJobs, [&](const JobId& aId) {
    const JobEntry& job = mJobs.at(aId);
    return job.Graph().mQueue == aQueue && job.mPhase == JobPhase::Queued;
  });
}

std::vector<JobId> CellScheduler::EndedBefore(std::int64_t aUnixMs) const
{
  std::vector<JobId> ended;
  for (const auto& [id, job] : mJobs) {
    if (job.Final() && job.mSavedVersion >= job.mVersion && !job.HasRuns() &&
        job.mEndedUnixMs < aUnixMs) {
      ended.push_back(id);
    }
  }
  return ended;
}

void CellScheduler::LogDecision(std::string_view aEvent,
                                const TaskRef& aTask,
                                const AgentId& aAgent,
                                RunNumber aRun,
                                std::string_view aReason,
                                std::int64_t aAgeMs) const
{
  // Without a task the decision concerns the worker.
  const bool hasTask = !aTask.mJob.Empty();
  mSink({ aEvent,
          aTask.mJob,
          hasTask ? ToString(aTask) : std::string(),
          aAgent,
          aRun,
          aReason,
          aAgeMs });
}

} // namespace foxtailbarrow::cell
