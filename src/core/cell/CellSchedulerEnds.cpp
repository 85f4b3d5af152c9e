#include <algorithm>
#include <set>

#include "src/core/cell/CellScheduler.h"

namespace foxtailbarrow::cell {

namespace {

/// Ends of what was stopped for a job that has ended need no record.
constexpr std::uint64_t kNeedsNoSave = 0;

} // namespace

void CellScheduler::OnEndedTasks(WorkerEntry& aWorker,
                                 const std::vector<EndedTask>& aEnded,
                                 const CellClock& aClock)
{
  for (const EndedTask& ended : aEnded) {
    if (!aWorker.mEnds.IsNew(ended.mNumber)) {
      continue;
    }
    const std::uint64_t version = OnEndedTask(aWorker, ended, aClock);
    aWorker.mEnds.Add(ended.mNumber, ended.mTask.mJob, version);
  }
}

/// Returns the version of the job's progress that covers this end.
std::uint64_t CellScheduler::OnEndedTask(WorkerEntry& aWorker,
                                         const EndedTask& aEnded,
                                         const CellClock& aClock)
{
  aWorker.mForeign.erase(aEnded.mTask);
  const auto found = mJobs.find(aEnded.mTask.mJob);
  if (found == mJobs.end()) {
    LogDecision("task-end-ignored",
                aEnded.mTask,
                aWorker.mId,
                aEnded.mRun,
                "unknown-job");
    return kNeedsNoSave;
  }
  JobEntry& job = found->second;
  TaskEntry* task = job.Find(aEnded.mTask);
  if (task == nullptr) {
    return kNeedsNoSave;
  }
  const TaskRun* run = task->FindRun(aWorker.mId, aEnded.mRun);
  const bool ours = run != nullptr || IsEndOfInheritedRun(job, *task, aEnded);
  const std::int64_t ageMs =
    run == nullptr ? 0 : WholeMilliseconds(aClock.mNow - run->mOrderedAt);
  LogDecision(ours ? "task-end" : "task-end-ignored",
              aEnded.mTask,
              aWorker.mId,
              aEnded.mRun,
              ToString(aEnded.mEnd),
              ageMs);
  if (run != nullptr && aEnded.mEnd == RunEnd::Done) {
    RecordRunTime(job.Graph().mQueue, aClock.mNow - run->mRunningSince);
  }
  if (run != nullptr) {
    RemoveRun(job, aEnded.mTask, aWorker.mId, aEnded.mRun, aClock);
  }
  if (ours && !job.Final()) {
    if (aEnded.mEnd == RunEnd::Done) {
      ClearCrashes(job, aEnded.mTask, aWorker.mId, aEnded.mRun, aClock);
    }
    UpdateFailuresInRow(aWorker, aEnded, aClock);
    ApplyEnd(job, aEnded, aWorker.mId, aClock);
  }
  return job.mVersion;
}

void CellScheduler::RecordRunTime(const QueueId& aQueue, Duration aRunTime)
{
  constexpr int kMeanWindow = 10; // Runs that the mean is taken over, about.
  const auto [entry, first] = mMeanRunTime.try_emplace(aQueue, aRunTime);
  if (!first) {
    entry->second += (aRunTime - entry->second) / kMeanWindow;
  }
}

/// An end of a run that an earlier owner started and that this one never saw
/// running, in whatever order the agents report. A run that this owner wrote
/// off does not count: its lease lapsed.
bool CellScheduler::IsEndOfInheritedRun(const JobEntry& aJob,
                                        const TaskEntry& aTask,
                                        const EndedTask& aEnded) const
{
  return aJob.mInherited && !aTask.mDone &&
         aEnded.mRun < FirstRunOf(mGeneration) &&
         std::ranges::find(aTask.mExpiredRuns, aEnded.mRun) ==
           aTask.mExpiredRuns.end();
}

void CellScheduler::ApplyEnd(JobEntry& aJob,
                             const EndedTask& aEnded,
                             const AgentId& aAgent,
                             const CellClock& aClock)
{
  TaskEntry& task = *aJob.Find(aEnded.mTask);
  task.mLastRun = std::max(task.mLastRun, aEnded.mRun);
  task.mCrashes.Settle(aEnded.mRun);
  if (!aEnded.mCheckpoint.empty()) {
    task.mCheckpoint = aEnded.mCheckpoint;
  }
  const bool standing = aJob.Spec(aEnded.mTask).mStanding;
  if (aEnded.mEnd == RunEnd::Done && !standing) {
    MarkDone(aJob, aEnded.mTask, aClock);
  } else if (aEnded.mEnd == RunEnd::Failed && !standing) {
    MarkFailed(aJob, aEnded, aAgent, aClock);
  }
}

void CellScheduler::MarkDone(JobEntry& aJob,
                             const TaskRef& aTask,
                             const CellClock& aClock)
{
  if (!aJob.Spec(aTask).mGang) {
    MarkTaskDone(aJob, aTask, aClock);
    return;
  }
  // The members of a gang end done together.
  TaskRef member = aTask;
  for (member.mIndex = 0; member.mIndex < aJob.Spec(aTask).mReplicas;
       ++member.mIndex) {
    MarkTaskDone(aJob, member, aClock);
  }
}

void CellScheduler::MarkTaskDone(JobEntry& aJob,
                                 const TaskRef& aTask,
                                 const CellClock& aClock)
{
  TaskEntry& task = *aJob.Find(aTask);
  if (task.mDone) {
    return;
  }
  task.mDone = true;
  aJob.mSuspects.erase(aTask); // A member of a gang may end by another's end.
  mNeedsPlacement = true;
  if (!aJob.Spec(aTask).mGang) {
    for (TaskRun& run : task.mRuns) {
      StopRun(run, aTask, "copy-done", aClock);
    }
  }
  MarkUnsaved(aJob, aClock.mNow);
  if (--aJob.StepOf(aTask).mTasksLeft > 0) {
    return;
  }
  OnStepDone(aJob, aTask);
  OccurrenceEntry& occurrence =
    aJob.mOccurrences[static_cast<std::size_t>(aTask.mOccurrence)];
  --occurrence.mStepsLeft;
  const bool all =
    std::ranges::all_of(aJob.mOccurrences, [](const OccurrenceEntry& aEntry) {
      return aEntry.mStepsLeft == 0;
    });
  if (all) {
    FinishJob(aJob, JobPhase::Completed, aClock);
  }
}

void CellScheduler::MarkFailed(JobEntry& aJob,
                               const EndedTask& aEnded,
                               const AgentId& aAgent,
                               const CellClock& aClock)
{
  TaskEntry& task = *aJob.Find(aEnded.mTask);
  if (std::ranges::find(task.mFailedRuns, aEnded.mRun) !=
      task.mFailedRuns.end()) {
    return; // Recorded by an earlier owner, which did not acknowledge it.
  }
  task.mFailedRuns.push_back(aEnded.mRun);
  task.mFailedOn.push_back(aAgent);
  MarkUnsaved(aJob, aClock.mNow);
  const auto failures = FailuresOf(aJob, aEnded.mTask);
  if (failures >= static_cast<std::size_t>(aJob.mPolicy.mAttempts)) {
    FinishJob(aJob, JobPhase::Failed, aClock);
  }
}

/// Of the task, or of its gang: members that fail in one run count once.
std::size_t CellScheduler::FailuresOf(JobEntry& aJob,
                                      const TaskRef& aTask) const
{
  if (!aJob.Spec(aTask).mGang) {
    return aJob.Find(aTask)->mFailedRuns.size();
  }
  std::set<RunNumber> runs;
  for (const TaskEntry& member : aJob.StepOf(aTask).mTasks) {
    runs.insert(member.mFailedRuns.begin(), member.mFailedRuns.end());
  }
  return runs.size();
}

void CellScheduler::UpdateFailuresInRow(WorkerEntry& aWorker,
                                        const EndedTask& aEnded,
                                        const CellClock& aClock)
{
  if (aEnded.mEnd == RunEnd::Done) {
    aWorker.mFailuresInRow = 0;
    aWorker.mFailingJobs.clear();
    return;
  }
  if (aEnded.mEnd != RunEnd::Failed) {
    return;
  }
  ++aWorker.mFailuresInRow;
  aWorker.mFailingJobs.insert(aEnded.mTask.mJob);
  // A job that always fails says nothing about the worker; two jobs do.
  if (aWorker.mFailuresInRow >= mSettings.mFailuresToAvoid &&
      aWorker.mFailingJobs.size() > 1) {
    aWorker.mAvoidUntil = aClock.mNow + mSettings.mAvoidFor;
    LogDecision("worker-avoided",
                aEnded.mTask,
                aWorker.mId,
                aEnded.mRun,
                "failures-in-row",
                aWorker.mFailuresInRow);
  }
}

} // namespace foxtailbarrow::cell
