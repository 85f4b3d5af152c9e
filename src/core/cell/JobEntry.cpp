#include "src/core/cell/JobEntry.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace foxtailbarrow::cell {

namespace {

constexpr char kDoneMark = '1';
constexpr char kNotDoneMark = '0';
/// The store limits the size of a record. A checkpoint that is left out costs
/// work after a change of owner, and nothing else.
constexpr std::size_t kMaxCheckpointBytes = 256UL * 1024;

bool InRange(std::int32_t aIndex, std::size_t aSize)
{
  return aIndex >= 0 && static_cast<std::size_t>(aIndex) < aSize;
}

void RestoreStep(const StoredStep& aStored, StepEntry& aStep)
{
  const auto size = static_cast<std::size_t>(aStep.Size());
  const std::size_t known = std::min(aStored.mDone.size(), size);
  for (std::size_t index = 0; index < known; ++index) {
    if (aStored.mDone[index] == kDoneMark) {
      aStep.MarkDone(static_cast<std::int32_t>(index));
    }
  }
  for (const StoredFailures& failures : aStored.mFailures) {
    if (InRange(failures.mIndex, size)) {
      aStep.Touch(failures.mIndex).mFailedRuns = failures.mRuns;
    }
  }
  for (const StoredCheckpoint& saved : aStored.mCheckpoints) {
    if (InRange(saved.mIndex, size)) {
      aStep.Touch(saved.mIndex).mCheckpoint = saved.mCheckpoint;
    }
  }
  for (const StoredCrashes& crashes : aStored.mCrashes) {
    if (InRange(crashes.mIndex, size)) {
      aStep.Touch(crashes.mIndex).mCrashes = CrashHistory(
        crashes.mRuns, crashes.mClearedTo, crashes.mUnsettledStart);
    }
  }
}

void Restore(const StoredProgress& aProgress, JobEntry& aJob)
{
  aJob.mDoneOccurrences = IndexRanges(aProgress.mDoneOccurrences);
  std::int32_t previous = -1;
  for (const StoredStep& stored : aProgress.mSteps) {
    if (stored.mOccurrence < 0 ||
        stored.mOccurrence >= Occurrences(aJob.Graph()) ||
        aJob.mDoneOccurrences.Contains(stored.mOccurrence) ||
        !InRange(stored.mStep, aJob.Graph().mSteps.size())) {
      continue;
    }
    if (std::exchange(previous, stored.mOccurrence) != stored.mOccurrence) {
      aJob.Compact(); // Records of earlier versions list done occurrences.
    }
    OccurrenceEntry& occurrence = aJob.Open(stored.mOccurrence);
    StepEntry& step = occurrence.mSteps[static_cast<std::size_t>(stored.mStep)];
    const bool wasDone = step.TasksLeft() == 0;
    RestoreStep(stored, step);
    if (step.TasksLeft() == 0 && !wasDone) {
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
  aJob.Compact();
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

/// `aCheckpointBytes`: left for checkpoints in the record.
StoredStep StoredOf(const StepEntry& aStep, std::size_t& aCheckpointBytes)
{
  StoredStep stored;
  if (aStep.TasksLeft() < aStep.Size()) {
    stored.mDone.reserve(static_cast<std::size_t>(aStep.Size()));
    for (std::int32_t index = 0; index < aStep.Size(); ++index) {
      stored.mDone.push_back(aStep.Task(index).mDone ? kDoneMark
                                                     : kNotDoneMark);
    }
  }
  for (const auto& [index, task] : aStep.Touched()) {
    if (task.mDone) {
      continue;
    }
    if (!task.mFailedRuns.empty()) {
      stored.mFailures.push_back({ index, task.mFailedRuns });
    }
    if (!task.mCheckpoint.empty() &&
        task.mCheckpoint.size() <= aCheckpointBytes) {
      aCheckpointBytes -= task.mCheckpoint.size();
      stored.mCheckpoints.push_back({ index, task.mCheckpoint });
    }
    if (!task.mCrashes.Empty()) {
      stored.mCrashes.push_back({ index,
                                  task.mCrashes.CrashesToStore(),
                                  task.mCrashes.ClearedTo(),
                                  task.mCrashes.UnsettledStart() });
    }
  }
  return stored;
}

} // namespace

std::optional<std::int32_t> JobEntry::NextOccurrence()
{
  const std::int32_t count = Occurrences(Graph());
  while (mNextOccurrence < count &&
         (mOpen.contains(mNextOccurrence) ||
          mDoneOccurrences.Contains(mNextOccurrence))) {
    ++mNextOccurrence;
  }
  return mNextOccurrence < count ? std::optional(mNextOccurrence)
                                 : std::nullopt;
}

std::int64_t JobEntry::DueUnixMs(std::int32_t aNumber) const
{
  const Recurrence& recurrence = Graph().mRecurrence;
  if (recurrence.mCount == 0) {
    return 0;
  }
  constexpr std::int64_t kLatest = std::numeric_limits<std::int64_t>::max();
  const std::int64_t longest =
    (kLatest - recurrence.mFirstDueUnixMs) / std::max<std::int64_t>(aNumber, 1);
  return recurrence.mFirstDueUnixMs +
         aNumber * std::min(recurrence.mIntervalMs, longest);
}

OccurrenceEntry& JobEntry::Open(std::int32_t aNumber)
{
  const auto [entry, isNew] = mOpen.try_emplace(aNumber);
  OccurrenceEntry& occurrence = entry->second;
  if (isNew) {
    occurrence.mDueUnixMs = DueUnixMs(aNumber);
    occurrence.mStepsLeft = static_cast<std::int32_t>(Graph().mSteps.size());
    occurrence.mSteps.reserve(Graph().mSteps.size());
    for (const StepSpec& spec : Graph().mSteps) {
      occurrence.mSteps.emplace_back(spec.mReplicas);
    }
  }
  return occurrence;
}

bool JobEntry::AllDone() const
{
  const auto count = static_cast<std::int64_t>(mOpen.size());
  return count + mDoneOccurrences.Count() == Occurrences(Graph()) &&
         std::ranges::all_of(mOpen, [](const auto& aEntry) {
           return aEntry.second.mStepsLeft == 0;
         });
}

bool JobEntry::HasRuns() const
{
  return std::ranges::any_of(
    mOpen, [](const auto& aEntry) { return aEntry.second.HasRuns(); });
}

const TaskEntry* JobEntry::Find(const TaskRef& aTask) const
{
  if (aTask.mOccurrence < 0 || aTask.mOccurrence >= Occurrences(Graph()) ||
      !InRange(aTask.mStep, Graph().mSteps.size()) || aTask.mIndex < 0 ||
      aTask.mIndex >= Spec(aTask).mReplicas) {
    return nullptr;
  }
  const auto open = mOpen.find(aTask.mOccurrence);
  if (open == mOpen.end()) {
    return mDoneOccurrences.Contains(aTask.mOccurrence)
             ? &StepEntry::DoneTask()
             : &StepEntry::UntouchedTask();
  }
  return &open->second.mSteps[static_cast<std::size_t>(aTask.mStep)].Task(
    aTask.mIndex);
}

TaskRun* JobEntry::FindRun(const TaskRef& aTask,
                           const AgentId& aAgent,
                           RunNumber aNumber)
{
  const TaskEntry* task = Find(aTask);
  return task == nullptr || task->FindRun(aAgent, aNumber) == nullptr
           ? nullptr
           : Touch(aTask).FindRun(aAgent, aNumber);
}

void JobEntry::Compact()
{
  if (Final() && mSavedVersion >= mVersion && !HasRuns()) {
    mOpen.clear();
    mDoneOccurrences = {};
    mSuspects.clear();
    mStored.mGraph = JobGraph{ Graph().mId, Graph().mQueue, {}, {}, {} };
    return;
  }
  for (auto entry = mOpen.begin(); entry != mOpen.end();) {
    auto& [number, occurrence] = *entry;
    for (StepEntry& step : occurrence.mSteps) {
      step.Compact();
    }
    if (occurrence.mStepsLeft > 0 || occurrence.HasRuns()) {
      ++entry;
      continue;
    }
    mDoneOccurrences.Insert(number);
    entry = mOpen.erase(entry);
  }
}

std::size_t MemoryOf(const JobGraph& aGraph)
{
  constexpr std::size_t kNodes = 256; // Of the maps and sets that list the job.
  std::size_t bytes = sizeof(JobEntry) + kNodes + aGraph.mPayload.capacity();
  for (const StepSpec& spec : aGraph.mSteps) {
    // One occurrence is open at a time at least.
    bytes += sizeof(StepSpec) + sizeof(StepEntry) +
             spec.mAfter.capacity() * sizeof(std::int32_t) +
             spec.mRequiredLabel.capacity() + spec.mImage.capacity() +
             spec.mDataRack.Value().capacity();
  }
  return bytes;
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
  if (job.Final()) {
    job.Compact();
  } else {
    Restore(aProgress, job);
  }
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
  progress.mDoneOccurrences = aJob.mDoneOccurrences.Flat();
  std::size_t checkpointBytes = kMaxCheckpointBytes;
  for (const auto& [number, occurrence] : aJob.mOpen) {
    for (std::size_t step = 0; step < occurrence.mSteps.size(); ++step) {
      StoredStep stored = StoredOf(occurrence.mSteps[step], checkpointBytes);
      if (stored == StoredStep{}) {
        continue;
      }
      stored.mOccurrence = number;
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
    return aOccurrence.mSteps[aStep].TasksLeft() > 0;
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
            estimate.count() * aOccurrence.mSteps[step].TasksLeft();
  }
  return work;
}

bool HasBegun(const OccurrenceEntry& aOccurrence)
{
  return std::ranges::any_of(aOccurrence.mSteps, &StepEntry::HasBegun);
}

bool Released(const JobGraph& aGraph,
              const OccurrenceEntry& aOccurrence,
              std::size_t aStep)
{
  return std::ranges::all_of(
    aGraph.mSteps[aStep].mAfter, [&](std::int32_t aBefore) {
      return aOccurrence.mSteps[static_cast<std::size_t>(aBefore)]
               .TasksLeft() == 0;
    });
}

} // namespace foxtailbarrow::cell
