#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "src/core/cell/CellScheduler.h"

namespace foxtailbarrow::cell {

namespace {

/// Ends of runs that were stopped because their job ended need no saved
/// progress.
constexpr std::uint64_t kNeedsNoSave = 0;

/// Tasks of open occurrences with a failed run.
std::vector<TaskRef> FailedTasks(const JobEntry& aJob)
{
  std::vector<TaskRef> tasks;
  for (const auto& [number, occurrence] : aJob.mOpen) {
    TaskRef task{ aJob.Graph().mId, number, 0, 0 };
    for (const StepEntry& step : occurrence.mSteps) {
      for (const auto& [index, entry] : step.Touched()) {
        task.mIndex = index;
        if (!entry.mFailedRuns.empty()) {
          tasks.push_back(task);
        }
      }
      ++task.mStep;
    }
  }
  return tasks;
}

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
    aWorker.mEnds.Add(ended.mNumber, ended.mTask, version);
  }
}

/// Returns the version of the job's progress that includes this end.
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
  const TaskEntry* task = job.Find(aEnded.mTask);
  if (task == nullptr) {
    return kNeedsNoSave;
  }
  const TaskRun* run = task->FindRun(aWorker.mId, aEnded.mRun);
  const bool counts = run != nullptr || IsEndOfInheritedRun(job, *task, aEnded);
  const std::int64_t ageMs =
    run == nullptr ? 0 : WholeMilliseconds(aClock.mNow - run->mOrderedAt);
  LogDecision(counts ? "task-end" : "task-end-ignored",
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
  if (counts && !job.Final()) {
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
  constexpr int kMeanWindow = 10; // Approximate number of runs in the mean.
  const auto [entry, first] = mMeanRunTime.try_emplace(aQueue, aRunTime);
  if (!first) {
    entry->second += (aRunTime - entry->second) / kMeanWindow;
  }
}

/// True for the end of a run that an earlier owner started and that was never
/// reported to this one as running, whatever the order of the agents' reports.
/// False for a run that this owner has given up after its lease expired.
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
  TaskEntry& task = aJob.Touch(aEnded.mTask);
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
  // All members of a gang are done when one is.
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
  StepEntry& step = aJob.StepOf(aTask);
  if (!step.MarkDone(aTask.mIndex)) {
    return;
  }
  mToCompact.insert(aTask.mJob);
  aJob.mSuspects.erase(aTask); // The end may be that of another gang member.
  mNeedsPlacement = true;
  if (!aJob.Spec(aTask).mGang) {
    for (TaskRun& run : step.Touch(aTask.mIndex).mRuns) {
      StopRun(run, aTask, "copy-done", aClock);
    }
  }
  MarkUnsaved(aJob, aClock.mNow);
  if (step.TasksLeft() > 0) {
    return;
  }
  OnStepDone(aJob, aTask);
  --aJob.Open(aTask.mOccurrence).mStepsLeft;
  if (aJob.AllDone()) {
    FinishJob(aJob, JobPhase::Completed, aClock);
  }
}

void CellScheduler::MarkFailed(JobEntry& aJob,
                               const EndedTask& aEnded,
                               const AgentId& aAgent,
                               const CellClock& aClock)
{
  TaskEntry& task = aJob.Touch(aEnded.mTask);
  if (std::ranges::find(task.mFailedRuns, aEnded.mRun) !=
      task.mFailedRuns.end()) {
    return; // Saved by an earlier owner, which did not acknowledge it.
  }
  task.mFailedRuns.push_back(aEnded.mRun);
  task.mFailedOn.push_back(aAgent);
  MarkUnsaved(aJob, aClock.mNow);
  if (IsExhausted(aJob, aEnded.mTask)) {
    FinishJob(aJob, JobPhase::Failed, aClock);
  }
}

/// True if the task, or its gang, has failed as often as its queue allows.
bool CellScheduler::IsExhausted(JobEntry& aJob, const TaskRef& aTask)
{
  return aJob.HasPolicy() && FailuresOf(aJob, aTask) >=
                               static_cast<std::size_t>(aJob.mPolicy.mAttempts);
}

/// Ends jobs whose tasks failed too often while their queue was not known.
void CellScheduler::FailExhaustedJobs(const CellClock& aClock)
{
  for (const JobId& id : std::exchange(mJobsWithNewPolicy, {})) {
    const auto found = mJobs.find(id);
    if (found == mJobs.end() || found->second.Final()) {
      continue;
    }
    JobEntry& job = found->second;
    if (const auto tasks = FailedTasks(job);
        std::ranges::any_of(tasks, [&](const TaskRef& aTask) {
          return IsExhausted(job, aTask);
        })) {
      FinishJob(job, JobPhase::Failed, aClock);
    }
  }
}

/// Failed runs of the task or its gang; members that fail in one run count
/// once.
std::size_t CellScheduler::FailuresOf(JobEntry& aJob, const TaskRef& aTask)
{
  if (!aJob.Spec(aTask).mGang) {
    return aJob.Find(aTask)->mFailedRuns.size();
  }
  std::set<RunNumber> runs;
  for (const auto& [index, member] : aJob.StepOf(aTask).Touched()) {
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
  // A job that always fails is no evidence against the worker; two jobs are.
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
