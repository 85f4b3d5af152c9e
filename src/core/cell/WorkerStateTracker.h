#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "foxtailbarrow/Time.h"
#include "src/core/cell/CrashedWorker.h"
#include "src/core/cell/TaskWorker.h"
#include "src/core/cell/WorkerState.h"

namespace foxtailbarrow::cell {

/// An agent's picture of its worker: the newest look, and what was started
/// since it was sent. A look that was sent before a start was answered may lack
/// the task, and does not remove it.
class WorkerStateTracker
{
public:
  /// A worker of another incarnation runs nothing and numbers ends from 1.
  void Reset();

  /// A start is sent, and may be carried out until it is answered.
  void OnSent(const TaskRef& aTask, RunNumber aRun);
  /// It was not carried out, and will not be.
  void OnNotStarted(const TaskRef& aTask, RunNumber aRun);
  /// A look under a higher fence was taken: starts of lower ones that it does
  /// not show will not be carried out.
  void OnAllSettled() { mSent.clear(); }
  void OnStarted(const TaskRef& aTask, RunNumber aRun, Instant aAnsweredAt);

  /// Returns true when the look brought an end that was not known.
  bool OnPoll(const PollReply& aReply, Instant aSentAt, Instant aAnsweredAt);

  /// Ends up to this number need not be reported again.
  void Acknowledge(std::int64_t aNumber);
  std::int64_t Acknowledged() const { return mAcknowledged; }

  /// True when the run is there or has ended there.
  bool Knows(const TaskRef& aTask, RunNumber aRun) const;

  std::vector<RunningTask> Running() const;

  /// What may take room: what runs, and starts without an answer.
  std::vector<TaskRef> MayBeRunning() const;

  /// The worker has crashed after its last answer at `aAnsweredAt`: what it may
  /// have crashed of.
  CrashedWorker CrashAfter(Instant aAnsweredAt) const;

  const std::vector<EndedTask>& Ended() const { return mEnded; }

private:
  using RunKey = std::pair<TaskRef, RunNumber>;

  std::vector<RunningTask> mPolled;
  std::map<RunKey, Instant> mStarted; ///< Not seen in a look yet.
  std::set<RunKey> mSent;             ///< Starts without an answer.
  std::map<RunKey, Instant> mSince;   ///< What runs was first known to.
  std::vector<EndedTask> mEnded;
  std::int64_t mNewestEnd = 0;
  std::int64_t mAcknowledged = 0;
};

} // namespace foxtailbarrow::cell
