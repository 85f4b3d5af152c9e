#include "src/core/cell/JobEntry.h"

#include <algorithm>
#include <utility>

namespace foxtailbarrow::cell {

namespace {

constexpr char kDoneMark = '1';
constexpr char kNotDoneMark = '0';

bool InRange(std::int32_t aIndex, std::size_t aSize)
{
  return aIndex >= 0 && static_cast<std::size_t>(aIndex) < aSize;
}

OccurrenceEntry MakeOccurrence(const JobGraph& aGraph, std::int32_t aNumber)
{
  OccurrenceEntry occurrence;
  const Recurrence& recurrence = aGraph.mRecurrence;
  if (recurrence.mCount > 0) {
    occurrence.mDueUnixMs =
      recurrence.mFirstDueUnixMs + aNumber * recurrence.mIntervalMs;
  }
  for (const StepSpec& spec : aGraph.mSteps) {
    StepEntry step;
    step.mTasks.resize(static_cast<std::size_t>(spec.mReplicas));
    step.mTasksLeft = spec.mReplicas;
    occurrence.mSteps.push_back(std::move(step));
  }
  occurrence.mStepsLeft = static_cast<std::int32_t>(aGraph.mSteps.size());
  return occurrence;
}

void RestoreStep(const StoredStep& aStored, StepEntry& aStep)
{
  const std::size_t known = std::min(aStored.mDone.size(), aStep.mTasks.size());
  for (std::size_t index = 0; index < known; ++index) {
    if (aStored.mDone[index] == kDoneMark && !aStep.mTasks[index].mDone) {
      aStep.mTasks[index].mDone = true;
      --aStep.mTasksLeft;
    }
  }
  for (const StoredFailures& failures : aStored.mFailures) {
    if (InRange(failures.mIndex, aStep.mTasks.size())) {
      aStep.mTasks[static_cast<std::size_t>(failures.mIndex)].mFailedRuns =
        failures.mRuns;
    }
  }
  for (const StoredCheckpoint& saved : aStored.mCheckpoints) {
    if (InRange(saved.mIndex, aStep.mTasks.size())) {
      aStep.mTasks[static_cast<std::size_t>(saved.mIndex)].mCheckpoint =
        saved.mCheckpoint;
    }
  }
  for (const StoredCrashes& crashes : aStored.mCrashes) {
    if (InRange(crashes.mIndex, aStep.mTasks.size())) {
      aStep.mTasks[static_cast<std::size_t>(crashes.mIndex)].mCrashes =
        CrashHistory(
          crashes.mRuns, crashes.mClearedTo, crashes.mUnsettledStart);
    }
  }
}

void Restore(const StoredProgress& aProgress, JobEntry& aJob)
{
  for (const StoredStep& stored : aProgress.mSteps) {
    if (!InRange(stored.mOccurrence, aJob.mOccurrences.size()) ||
        !InRange(stored.mStep, aJob.Graph().mSteps.size())) {
      continue;
    }
    OccurrenceEntry& occurrence =
      aJob.mOccurrences[static_cast<std::size_t>(stored.mOccurrence)];
    StepEntry& step = occurrence.mSteps[static_cast<std::size_t>(stored.mStep)];
    RestoreStep(stored, step);
    if (step.mTasksLeft == 0) {
      --occurrence.mStepsLeft;
    }
    for (const StoredCrashes& crashes : stored.mCrashes) {
      const TaskRef task{
        aJob.Graph().mId, stored.mOccurrence, stored.mStep, crashes.mIndex
      };
      if (const TaskEntry* entry = aJob.Find(task);
          entry != nullptr && entry->mCrashes.Suspect()) {
        aJob.mSuspects.insert(task);
      }
    }
  }
}

/// Length of the longest dependency path, over the steps that `aCounts`
/// selects.
template<typename Counts>
Duration PathLength(const JobGraph& aGraph, Counts aCounts)
{
  std::vector<Duration> ends;
  Duration longest{};
  for (std::size_t step = 0; step < aGraph.mSteps.size(); ++step) {
    const StepSpec& spec = aGraph.mSteps[step];
    Duration begin{};
    for (const std::int32_t before : spec.mAfter) {
      begin = std::max(begin, ends[static_cast<std::size_t>(before)]);
    }
    ends.push_back(begin + (aCounts(step) ? spec.mEstimate : Duration::zero()));
    longest = std::max(longest, ends.back());
  }
  return longest;
}

StoredStep StoredOf(const StepEntry& aStep)
{
  StoredStep stored;
  bool anyDone = false;
  for (std::size_t index = 0; index < aStep.mTasks.size(); ++index) {
    const TaskEntry& task = aStep.mTasks[index];
    stored.mDone.push_back(task.mDone ? kDoneMark : kNotDoneMark);
    anyDone = anyDone || task.mDone;
    if (!task.mDone && !task.mFailedRuns.empty()) {
      stored.mFailures.push_back(
        { static_cast<std::int32_t>(index), task.mFailedRuns });
    }
    if (!task.mDone && !task.mCheckpoint.empty()) {
      stored.mCheckpoints.push_back(
        { static_cast<std::int32_t>(index), task.mCheckpoint });
    }
    if (!task.mDone && !task.mCrashes.Empty()) {
      stored.mCrashes.push_back({ static_cast<std::int32_t>(index),
                                  task.mCrashes.CrashesToStore(),
                                  task.mCrashes.ClearedTo(),
                                  task.mCrashes.UnsettledStart() });
    }
  }
  if (!anyDone) {
    stored.mDone.clear();
  }
  return stored;
}

} // namespace

TaskEntry* JobEntry::Find(const TaskRef& aTask)
{
  if (!InRange(aTask.mOccurrence, mOccurrences.size()) ||
      !InRange(aTask.mStep, Graph().mSteps.size())) {
    return nullptr;
  }
  StepEntry& step = StepOf(aTask);
  if (!InRange(aTask.mIndex, step.mTasks.size())) {
    return nullptr;
  }
  return &step.mTasks[static_cast<std::size_t>(aTask.mIndex)];
}

JobEntry MakeJobEntry(StoredJob aStored,
                      const StoredProgress& aProgress,
                      QueuePolicy aPolicy)
{
  JobEntry job;
  job.mStored = std::move(aStored);
  job.mPolicy = std::move(aPolicy);
  job.mPhase = aProgress.mPhase;
  job.mEndedUnixMs = aProgress.mEndedUnixMs;
  for (std::int32_t number = 0; number < Occurrences(job.Graph()); ++number) {
    job.mOccurrences.push_back(MakeOccurrence(job.Graph(), number));
  }
  Restore(aProgress, job);
  return job;
}

StoredProgress ProgressOf(const JobEntry& aJob)
{
  StoredProgress progress;
  progress.mPhase = aJob.mPhase;
  progress.mEndedUnixMs = aJob.mEndedUnixMs;
  if (aJob.Final()) {
    return progress; // No task of it runs again: the steps are not needed.
  }
  for (std::size_t number = 0; number < aJob.mOccurrences.size(); ++number) {
    const OccurrenceEntry& occurrence = aJob.mOccurrences[number];
    for (std::size_t step = 0; step < occurrence.mSteps.size(); ++step) {
      StoredStep stored = StoredOf(occurrence.mSteps[step]);
      if (stored == StoredStep{}) {
        continue;
      }
      stored.mOccurrence = static_cast<std::int32_t>(number);
      stored.mStep = static_cast<std::int32_t>(step);
      progress.mSteps.push_back(std::move(stored));
    }
  }
  return progress;
}

Duration CriticalPath(const JobGraph& aGraph)
{
  return PathLength(aGraph, [](std::size_t) { return true; });
}

Duration RemainingCriticalPath(const JobGraph& aGraph,
                               const OccurrenceEntry& aOccurrence)
{
  return PathLength(aGraph, [&](std::size_t aStep) {
    return aOccurrence.mSteps[aStep].mTasksLeft > 0;
  });
}

double RemainingWork(const JobGraph& aGraph, const OccurrenceEntry& aOccurrence)
{
  constexpr double kMillicores = 1000.0;
  double work = 0;
  for (std::size_t step = 0; step < aGraph.mSteps.size(); ++step) {
    const StepSpec& spec = aGraph.mSteps[step];
    const std::chrono::duration<double> estimate = spec.mEstimate;
    work += static_cast<double>(spec.mDemand.mMillicores) / kMillicores *
            estimate.count() * aOccurrence.mSteps[step].mTasksLeft;
  }
  return work;
}

bool HasBegun(const OccurrenceEntry& aOccurrence)
{
  return std::ranges::any_of(aOccurrence.mSteps, [](const StepEntry& aStep) {
    return std::ranges::any_of(aStep.mTasks, [](const TaskEntry& aTask) {
      return aTask.mDone || !aTask.mRuns.empty();
    });
  });
}

bool Released(const JobGraph& aGraph,
              const OccurrenceEntry& aOccurrence,
              std::size_t aStep)
{
  return std::ranges::all_of(
    aGraph.mSteps[aStep].mAfter, [&](std::int32_t aBefore) {
      return aOccurrence.mSteps[static_cast<std::size_t>(aBefore)].mTasksLeft ==
             0;
    });
}

} // namespace foxtailbarrow::cell
