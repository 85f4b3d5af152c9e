#pragma once

#include <map>

#include "src/core/cell/CellMessages.h"

namespace foxtailbarrow::cell {

/// Metadata of the tasks that an agent's worker runs or may run, and the runs
/// that this agent started. Does no I/O.
class TaskMetadataTable
{
public:
  struct Entry
  {
    TaskMetadata mMetadata;
    RunNumber mStarted = 0; ///< The run that this agent started; 0 = none.
    int mMissed = 0;        ///< Consecutive polls without it.
  };

  Entry& Set(const TaskMetadata& aMetadata);
  void OnStart(const TaskMetadata& aMetadata, RunNumber aRun);

  /// Null when the task is not known.
  const Entry* Find(const TaskRef& aTask) const;
  /// The image of a known task.
  const std::string& ImageOf(const TaskRef& aTask) const;

  /// Called before the tasks of a poll are passed to OnObserved().
  void BeginPoll();
  /// The poll lists the task. Null when it is not known.
  const Entry* OnObserved(const TaskRef& aTask);
  /// Removes tasks that have been missing from the polls for long.
  void EndPoll();

private:
  std::map<TaskRef, Entry> mEntries;
};

} // namespace foxtailbarrow::cell
