#pragma once

#include <cstdint>
#include <set>
#include <vector>

#include "foxtailbarrow/Contract.h"
#include "foxtailbarrow/Time.h"
#include "src/core/cell/CellRecords.h"
#include "src/core/cell/QueuePolicy.h"
#include "src/core/cell/StepAdvice.h"
#include "src/core/cell/TaskEntry.h"

namespace foxtailbarrow::cell {

struct StepEntry
{
  std::vector<TaskEntry> mTasks;
  std::int32_t mTasksLeft = 0; ///< Tasks that are not done.
  Instant mReleasedAt{};       ///< It was first found free to start.
  StepAdvice mAdvice;          ///< Where the queue's policy asks for it.
};

/// One time that the steps of a job run.
struct OccurrenceEntry
{
  std::int64_t mDueUnixMs = 0; ///< 0 = at once.
  std::vector<StepEntry> mSteps;
  std::int32_t mStepsLeft = 0;
};

/// What the owner knows of one job.
struct JobEntry
{
  StoredJob mStored;
  QueuePolicy mPolicy;
  JobPhase mPhase = JobPhase::Queued;
  std::vector<OccurrenceEntry> mOccurrences;
  Instant mAcceptedAt{};
  /// Latest end at which the job is on time, by declared run times.
  Instant mDeadline{};
  /// An earlier owner may have started tasks of it: a worker that has not
  /// reported yet may run them.
  bool mInherited = false;
  std::int64_t mEndedUnixMs = 0;
  std::set<TaskRef> mSuspects; ///< Tasks that crashes speak against.

  std::uint64_t mVersion = 0;      ///< Of what the progress record must say.
  std::uint64_t mSavedVersion = 0; ///< Version that the store has.
  Instant mUnsavedSince{};         ///< While the store has an older version.
  Revision mProgressRevision = 0;  ///< Of the progress record; 0 = none.
  /// A write of the record is not answered yet: the store may have it.
  bool mSaveInDoubt = false;

  const JobGraph& Graph() const { return mStored.mGraph; }
  bool Final() const { return IsFinal(mPhase); }

  const StepSpec& Spec(const TaskRef& aTask) const
  {
    return Graph().mSteps[static_cast<std::size_t>(aTask.mStep)];
  }

  /// Null when the job has no such task.
  TaskEntry* Find(const TaskRef& aTask);
  const TaskEntry* Find(const TaskRef& aTask) const
  {
    return const_cast<JobEntry*>(this)->Find(aTask);
  }
  StepEntry& StepOf(const TaskRef& aTask)
  {
    return mOccurrences[static_cast<std::size_t>(aTask.mOccurrence)]
      .mSteps[static_cast<std::size_t>(aTask.mStep)];
  }
};

/// A job as it is after its acceptance, with what the store recorded of it.
JobEntry MakeJobEntry(StoredJob aStored,
                      const StoredProgress& aProgress,
                      QueuePolicy aPolicy);

/// What the store is to record of the job now.
StoredProgress ProgressOf(const JobEntry& aJob);

/// Longest chain of declared run times over the steps' dependencies.
Duration CriticalPath(const JobGraph& aGraph);

/// As CriticalPath(), over the steps of the occurrence that are not done.
Duration RemainingCriticalPath(const JobGraph& aGraph,
                               const OccurrenceEntry& aOccurrence);

/// Declared work of the tasks that are not done, in core-seconds.
double RemainingWork(const JobGraph& aGraph,
                     const OccurrenceEntry& aOccurrence);

/// True when a task of the occurrence runs or has ended done.
bool HasBegun(const OccurrenceEntry& aOccurrence);

/// True when every step that `aStep` waits for is done.
bool Released(const JobGraph& aGraph,
              const OccurrenceEntry& aOccurrence,
              std::size_t aStep);

} // namespace foxtailbarrow::cell
