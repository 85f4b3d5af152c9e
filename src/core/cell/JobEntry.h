#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "foxtailbarrow/Contract.h"
#include "foxtailbarrow/Time.h"
#include "src/core/cell/IndexRanges.h"
#include "src/core/cell/QueuePolicy.h"
#include "src/core/cell/StepEntry.h"
#include "src/core/cell/records/CellRecords.h"

namespace foxtailbarrow::cell {

/// One execution of the steps of a job.
struct OccurrenceEntry
{
  std::int64_t mDueUnixMs = 0; ///< 0 = at once.
  std::vector<StepEntry> mSteps;
  std::int32_t mStepsLeft = 0;

  bool HasRuns() const
  {
    return std::ranges::any_of(mSteps, &StepEntry::HasRuns);
  }
};

/// The owner's state of one job. Its size depends on the occurrences that are
/// open, which are due and not done, and on the tasks that were started in
/// them, but not on what is done or not due yet.
struct JobEntry
{
  StoredJob mStored;
  QueuePolicy mPolicy;
  JobPhase mPhase = JobPhase::Queued;
  std::map<std::int32_t, OccurrenceEntry> mOpen; ///< By number.
  IndexRanges mDoneOccurrences;                  ///< Done and not open.
  std::int32_t mNextOccurrence = 0; ///< Those below are open or done.
  Instant mAcceptedAt{};
  /// Latest end at which the job is on time, by declared run times.
  Instant mDeadline{};
  /// An earlier owner may have started tasks of it: a worker that has not
  /// reported yet may run them.
  bool mInherited = false;
  std::int64_t mEndedUnixMs = 0;
  std::size_t mBytes = 0;      ///< Memory that it is counted with.
  std::set<TaskRef> mSuspects; ///< Tasks suspected of crashing workers.

  std::uint64_t mVersion = 0;      ///< Of the progress.
  std::uint64_t mSavedVersion = 0; ///< Of the progress in the store.
  Instant mUnsavedSince{};         ///< Valid while that one is older.
  Revision mProgressRevision = 0;  ///< Of the progress record; 0 = none.
  /// A write of the progress record is unanswered: it may have been applied.
  bool mSaveInDoubt = false;

  const JobGraph& Graph() const { return mStored.mGraph; }
  bool Final() const { return IsFinal(mPhase); }
  /// False while no configuration with its queue is known.
  bool HasPolicy() const { return !mPolicy.mQueue.Empty(); }

  const StepSpec& Spec(const TaskRef& aTask) const
  {
    return Graph().mSteps[static_cast<std::size_t>(aTask.mStep)];
  }

  /// Number of the first occurrence that is neither open nor done; nullopt if
  /// there is none.
  std::optional<std::int32_t> NextOccurrence();
  /// When the occurrence is due; 0 = at once.
  std::int64_t DueUnixMs(std::int32_t aNumber) const;
  /// The occurrence, which is opened if it is not. It must not be done.
  OccurrenceEntry& Open(std::int32_t aNumber);
  /// True when every occurrence is done.
  bool AllDone() const;
  bool HasRuns() const;

  /// Null when the job has no such task. Valid until the next Touch() or
  /// Compact().
  const TaskEntry* Find(const TaskRef& aTask) const;
  /// The entry of a task that exists and whose occurrence is not closed. Valid
  /// until Compact().
  TaskEntry& Touch(const TaskRef& aTask)
  {
    return StepOf(aTask).Touch(aTask.mIndex);
  }
  /// As Touch() for a run of the task; null when there is none.
  TaskRun* FindRun(const TaskRef& aTask,
                   const AgentId& aAgent,
                   RunNumber aNumber);

  /// Opens the occurrence if it is not.
  StepEntry& StepOf(const TaskRef& aTask)
  {
    return Open(aTask.mOccurrence)
      .mSteps[static_cast<std::size_t>(aTask.mStep)];
  }

  /// Closes occurrences that are done, and drops the state of an ended job once
  /// its end is saved. Both remain while something of them runs.
  void Compact();
};

/// Memory of a job with this graph, without what Open() and Touch() add.
std::size_t MemoryOf(const JobGraph& aGraph);

/// Restores a job from its record and its saved progress.
JobEntry MakeJobEntry(StoredJob aStored,
                      const StoredProgress& aProgress,
                      QueuePolicy aPolicy);

/// The progress to save for the job now.
StoredProgress ProgressOf(const JobEntry& aJob);

/// Length of the longest path of declared run times through the dependencies.
Duration CriticalPath(const JobGraph& aGraph);

/// As CriticalPath(), over the steps of the occurrence that are not done.
Duration RemainingCriticalPath(const JobGraph& aGraph,
                               const OccurrenceEntry& aOccurrence);

/// Declared work of the tasks that are not done, in core-seconds.
double RemainingWork(const JobGraph& aGraph,
                     const OccurrenceEntry& aOccurrence);

/// True when a task of the occurrence runs or is done.
bool HasBegun(const OccurrenceEntry& aOccurrence);

/// True when every step that `aStep` depends on is done.
bool Released(const JobGraph& aGraph,
              const OccurrenceEntry& aOccurrence,
              std::size_t aStep);

} // namespace foxtailbarrow::cell
