#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

#include "src/core/cell/placing/Candidate.h"
#include "src/core/cell/placing/StandingBacklog.h"
#include "src/core/cell/placing/Timeliness.h"

/// Which steps are ready, and in which order they are placed.
namespace foxtailbarrow::cell {

/// Opens the occurrences of the job that are due. A job always has one open;
/// more only within the limits.
void CellScheduler::OpenDueOccurrences(JobEntry& aJob, std::int64_t aUnixMs)
{
  const auto steps = static_cast<std::int64_t>(aJob.Graph().mSteps.size());
  const auto mayOpen = [&] {
    const auto open = static_cast<std::int64_t>(aJob.mOpen.size()) * steps;
    return open == 0 || (open < mSettings.mLimits.OpenStepsOfJob() &&
                         mOpenSteps < mSettings.mLimits.mOpenSteps);
  };
  for (auto next = aJob.NextOccurrence();
       next && aJob.DueUnixMs(*next) <= aUnixMs && mayOpen();
       next = aJob.NextOccurrence()) {
    aJob.Open(*next);
    mOpenSteps += steps;
  }
}

/// Also counts what the limits apply to. Starts within a round are counted as
/// they are decided.
std::vector<CellScheduler::Candidate> CellScheduler::Candidates(
  const CellClock& aClock)
{
  std::int64_t openSteps = 0;
  mTouchedTasks = 0;
  std::vector<Candidate> candidates;
  for (const JobId& id : mActiveJobs) {
    JobEntry& job = mJobs.at(id);
    // Without a progress record, the next owner would assume that no task of
    // the job has started.
    if (job.mProgressRevision == 0 ||
        (job.mInherited && mUnreported.MayRunAny(aClock.mNow))) {
      continue;
    }
    OpenDueOccurrences(job, aClock.mUnixMs);
    for (auto& [number, occurrence] : job.mOpen) {
      openSteps += static_cast<std::int64_t>(occurrence.mSteps.size());
      for (const StepEntry& step : occurrence.mSteps) {
        mTouchedTasks += static_cast<std::int64_t>(step.Touched().size());
      }
      if (occurrence.mStepsLeft == 0 ||
          aClock.mUnixMs < occurrence.mDueUnixMs) {
        continue;
      }
      for (std::size_t step = 0; step < occurrence.mSteps.size(); ++step) {
        StepEntry& entry = occurrence.mSteps[step];
        if (!entry.HasIdle() || !Released(job.Graph(), occurrence, step)) {
          continue;
        }
        if (entry.mReleasedAt == Instant{}) {
          entry.mReleasedAt = aClock.mNow;
        }
        const bool bestEffort = job.Graph().mSteps[step].mBestEffort;
        const bool begun = HasBegun(occurrence);
        candidates.push_back(
          { bestEffort,
            job.mPolicy.mPriority,
            job.Graph().mSteps[step].mStanding
              ? kStandingTimeliness
              : TimelinessOf(job, occurrence, begun, aClock.mNow),
            bestEffort && !begun,
            bestEffort ? RemainingWork(job.Graph(), occurrence) : 0.0,
            job.mDeadline,
            { id, number, static_cast<std::int32_t>(step), 0 } });
      }
    }
  }
  mOpenSteps = openSteps;
  return candidates;
}

std::vector<CellScheduler::Candidate> CellScheduler::SortedCandidates(
  const CellClock& aClock)
{
  std::vector<Candidate> candidates = Candidates(aClock);
  std::ranges::sort(candidates, {}, [](const Candidate& aCandidate) {
    return aCandidate.Key();
  });
  return candidates;
}

/// True while so many standing tasks are about to start that best-effort tasks
/// should wait for them.
bool CellScheduler::StandingTasksComeFirst(
  std::span<const Candidate> aCandidates,
  Instant aNow)
{
  StandingBacklog backlog(mSettings.mMaxStandingBacklogShare,
                          mSettings.mStandingBacklogWait);
  for (const Candidate& candidate : aCandidates) {
    JobEntry& job = mJobs.at(candidate.mFirstTask.mJob);
    const StepSpec& spec = job.Spec(candidate.mFirstTask);
    if (!spec.mStanding) {
      continue;
    }
    const StepEntry& step = job.StepOf(candidate.mFirstTask);
    TaskRef ref = candidate.mFirstTask;
    for (; ref.mIndex < step.Size(); ++ref.mIndex) {
      const TaskEntry& task = step.Task(ref.mIndex);
      // The others lack a worker, perhaps for long.
      const bool startsSoon =
        task.Idle() &&
        (task.mNotBefore > aNow || !CrashesAllowStart(job, ref, aNow));
      if (startsSoon) {
        backlog.Add(spec.mDemand.mMillicores,
                    aNow - std::max(step.mReleasedAt, task.mIdleSince));
      }
    }
  }
  const bool first = backlog.HoldsBestEffort(CapacityOf(mWorkers));
  if (first != std::exchange(mStandingFirst, first)) {
    LogDecision(first ? "best-effort-held" : "best-effort-released",
                {},
                {},
                0,
                absl::StrCat("standingMillicores=", backlog.Millicores()));
  }
  return first;
}

} // namespace foxtailbarrow::cell
