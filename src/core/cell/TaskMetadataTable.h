#pragma once

#include <map>

#include "src/core/cell/CellMessages.h"

namespace foxtailbarrow::cell {

/// What an agent knows of the tasks that its worker runs or may run: what they
/// are, and which runs of them it has started itself. Pure.
class TaskMetadataTable
{
public:
  struct Entry
  {
    TaskMetadata mMetadata;
    RunNumber mStarted = 0; ///< The run that this agent started; 0 = none.
    int mMissed = 0;        ///< Looks in a row that did not show it.
  };

  Entry& Set(const TaskMetadata& aTraits);
  void OnStart(const TaskMetadata& aTraits, RunNumber aRun);

  /// Null when nothing is known of the task.
  const Entry* Find(const TaskRef& aTask) const;
  /// The image of a task that is known.
  const std::string& ImageOf(const TaskRef& aTask) const;

  /// Before the tasks of a look are seen.
  void BeginPoll();
  /// The look shows the task. Null when nothing is known of it.
  const Entry* OnObserved(const TaskRef& aTask);
  /// Forgets tasks that looks have not shown for long.
  void EndPoll();

private:
  std::map<TaskRef, Entry> mEntries;
};

} // namespace foxtailbarrow::cell
