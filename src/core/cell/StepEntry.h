#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <vector>

#include "foxtailbarrow/Time.h"
#include "src/core/cell/TaskEntry.h"
#include "src/core/cell/placing/StepAdvice.h"

namespace foxtailbarrow::cell {

/// The owner's state of one step of an occurrence. A task has an entry only
/// while it has a state of its own: one that was never started needs no memory,
/// and one that is done a bit.
class StepEntry
{
public:
  explicit StepEntry(std::int32_t aTasks = 0)
    : mSize(aTasks)
    , mTasksLeft(aTasks)
  {
  }

  /// The state of a task that was never started, and of one that is done.
  static const TaskEntry& UntouchedTask();
  static const TaskEntry& DoneTask();

  std::int32_t Size() const { return mSize; }
  /// Tasks that are not done.
  std::int32_t TasksLeft() const { return mTasksLeft; }

  /// The task's state. Valid until the next Touch() or Compact().
  const TaskEntry& Task(std::int32_t aIndex) const;
  /// The task's entry, which is added if there is none. Valid until Compact().
  TaskEntry& Touch(std::int32_t aIndex);
  /// The entries, by index.
  const std::map<std::int32_t, TaskEntry>& Touched() const { return mTouched; }
  std::map<std::int32_t, TaskEntry>& Touched() { return mTouched; }

  /// Returns false if the task was done before.
  bool MarkDone(std::int32_t aIndex);

  /// True if a task is neither done nor running.
  bool HasIdle() const;
  std::int32_t IdleTasks() const;
  bool HasRuns() const;
  /// True if a task runs or is done.
  bool HasBegun() const { return mTasksLeft < mSize || HasRuns(); }
  /// When the last run of any of the tasks ended.
  Instant IdleSince() const;

  /// Removes the entries of tasks without runs that are done or were never
  /// started.
  void Compact();

  Instant mReleasedAt{}; ///< When its dependencies were found done.
  StepAdvice mAdvice;    ///< Used where the queue's policy requires it.

private:
  std::int32_t mSize;
  std::int32_t mTasksLeft;
  std::map<std::int32_t, TaskEntry> mTouched;
  std::vector<bool> mDone; ///< By index; empty while no task is done.
  Instant mCompactedIdleSince{};
};

} // namespace foxtailbarrow::cell
