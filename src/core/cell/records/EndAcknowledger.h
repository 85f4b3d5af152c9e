#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <vector>

#include "foxtailbarrow/Id.h"
#include "src/core/cell/TaskRef.h"
#include "src/core/cell/workers/WorkerState.h"

namespace foxtailbarrow::cell {

/// Decides which ends of one worker may be acknowledged: those before the first
/// one whose job's progress is not saved yet. The worker forgets acknowledged
/// ends, so that the progress must be saved first.
class EndAcknowledger
{
public:
  /// Returns the saved version of a job's progress; the greatest number for a
  /// job that needs no saving.
  using SavedVersion = std::function<std::uint64_t(const JobId&)>;

  /// Starts over for a new incarnation, which numbers its ends from 1.
  void Reset(const WorkerIncarnation& aIncarnation);
  const WorkerIncarnation& Incarnation() const { return mIncarnation; }

  /// False for an end that was added before.
  bool IsNew(std::int64_t aNumber) const { return aNumber > mLastNumber; }

  /// Adds an end of `aTask` that may be acknowledged once the job is saved at
  /// `aVersion`.
  void Add(std::int64_t aNumber, const TaskRef& aTask, std::uint64_t aVersion);

  /// Highest number that may be acknowledged.
  std::int64_t Acknowledge(const SavedVersion& aSavedVersion);

  /// Tasks with an end that the saved progress does not include yet, whichever
  /// report named it.
  std::vector<TaskRef> Unsaved(const SavedVersion& aSavedVersion) const;

  bool Empty() const { return mPending.empty(); }
  /// Ends that may not be acknowledged yet.
  std::size_t Pending() const { return mPending.size(); }

private:
  struct PendingEnd
  {
    std::int64_t mNumber = 0;
    TaskRef mTask;
    std::uint64_t mVersion = 0;
  };

  static bool IsSaved(const PendingEnd& aEnd, const SavedVersion& aSavedVersion)
  {
    return aSavedVersion(aEnd.mTask.mJob) >= aEnd.mVersion;
  }

  WorkerIncarnation mIncarnation;
  std::int64_t mLastNumber = 0;
  std::int64_t mAcknowledged = 0;
  std::deque<PendingEnd> mPending;
};

} // namespace foxtailbarrow::cell
