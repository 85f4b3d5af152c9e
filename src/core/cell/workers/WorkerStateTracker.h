#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "foxtailbarrow/Time.h"
#include "src/core/cell/crashes/CrashedWorker.h"
#include "src/core/cell/workers/TaskWorker.h"
#include "src/core/cell/workers/WorkerState.h"

namespace foxtailbarrow::cell {

/// An agent's view of its worker: the newest poll, and what was started since
/// that poll was sent. A poll sent before a start was answered may lack the
/// task and does not remove it.
class WorkerStateTracker
{
public:
  /// A worker of another incarnation runs nothing and numbers ends from 1.
  void Reset();

  /// A start is sent; it may be carried out until it is answered.
  void OnSent(const TaskRef& aTask, RunNumber aRun);
  /// The start was not carried out and never will be.
  void OnNotStarted(const TaskRef& aTask, RunNumber aRun);
  /// A poll with a higher fence was answered: starts with lower fences that it
  /// does not show will never be carried out.
  void OnAllSettled() { mSent.clear(); }
  void OnStarted(const TaskRef& aTask, RunNumber aRun, Instant aAnsweredAt);

  /// Returns true if the poll brought a new ended task.
  bool OnPoll(const PollReply& aReply, Instant aSentAt, Instant aAnsweredAt);

  /// Ends up to this number need not be reported again.
  void Acknowledge(std::int64_t aNumber);
  std::int64_t Acknowledged() const { return mAcknowledged; }

  /// True if the run is on the worker or has ended there.
  bool Knows(const TaskRef& aTask, RunNumber aRun) const;

  std::vector<RunningTask> Running() const;

  /// Tasks that may use capacity: running, or started without an answer yet.
  std::vector<TaskRef> MayBeRunning() const;

  /// Runs that may have caused a crash of the worker after its last answer at
  /// `aAnsweredAt`.
  CrashedWorker CrashAfter(Instant aAnsweredAt) const;

  const std::vector<EndedTask>& Ended() const { return mEnded; }

private:
  using RunKey = std::pair<TaskRef, RunNumber>;

  std::vector<RunningTask> mPolled;
  std::map<RunKey, Instant> mStarted; ///< Answered but not in a poll yet.
  std::set<RunKey> mSent;             ///< Starts without an answer.
  std::map<RunKey, Instant> mSince;   ///< When a run was first known to run.
  std::vector<EndedTask> mEnded;
  std::int64_t mNewestEnd = 0;
  std::int64_t mAcknowledged = 0;
};

} // namespace foxtailbarrow::cell
