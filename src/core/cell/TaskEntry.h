#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Time.h"
#include "src/core/cell/TaskRef.h"
#include "src/core/cell/TaskTime.h"
#include "src/core/cell/crashes/CrashHistory.h"

namespace foxtailbarrow::cell {

enum class RunPhase : std::uint8_t
{
  Ordered, ///< The agent has not answered yet: it may or may not run.
  Running,
  Stopping, ///< Holds its capacity until its end is reported.
};

/// One run of a task that may be alive.
struct TaskRun
{
  AgentId mAgent{};
  RunNumber mNumber = 0;
  RunPhase mPhase = RunPhase::Ordered;
  Instant mOrderedAt{};
  /// Number of the orders that started it in the current session; 0 = it ran
  /// before the session began.
  std::int64_t mOrderNumber = 0;
  bool mSent = false; ///< The order was sent: it may have run.
  Instant mRunningSince{};
  /// Least time that it has been alive, by its agent's clock.
  Duration mUptime{};
  std::int32_t mPercent = 0;
  Instant mPercentChangedAt{};
  Instant mStopOrderedAt{};
  /// Start of the stall of a best-effort task; nullopt while it makes progress.
  std::optional<Instant> mStalledSince{};
  Instant mFigureAt{}; ///< When its newest measurement was counted.

  /// Its worker has reported that it runs.
  void Confirm(Instant aNow)
  {
    if (mPhase == RunPhase::Ordered) {
      mPhase = RunPhase::Running;
      mRunningSince = aNow;
      mPercentChangedAt = aNow;
    }
  }
  bool Confirmed() const { return mRunningSince != Instant{}; }
};

/// The owner's state of one task.
struct TaskEntry
{
  bool mDone = false;
  std::vector<RunNumber> mFailedRuns;
  std::string mCheckpoint;
  std::vector<TaskRun> mRuns;
  RunNumber mLastRun = 0;
  Instant mNotBefore{}; ///< No start before; set after a refusal.
  Instant mIdleSince{};
  TaskTime mTime; ///< Best-effort tasks only.
  std::vector<AgentId> mFailedOn;
  AgentId mStalledOn;      ///< Not placed there again
  Instant mStalledUntil{}; ///< before this time.
  /// Runs of earlier owners whose leases have expired.
  std::vector<RunNumber> mExpiredRuns;
  CrashHistory mCrashes;
  bool mProven = false; ///< A run of it has reached kProvenUptime.
  /// Version of the job's progress that must be saved before a start.
  std::uint64_t mRequiredVersion = 0;

  bool Idle() const { return !mDone && mRuns.empty(); }
  /// True without any state that a start would depend on.
  bool NeverStarted() const
  {
    return mLastRun == 0 && mFailedRuns.empty() && mFailedOn.empty() &&
           mExpiredRuns.empty() && mCheckpoint.empty() && mCrashes.Empty() &&
           mNotBefore == Instant{} && mRequiredVersion == 0;
  }

  TaskRun* FindRun(const AgentId& aAgent, RunNumber aNumber)
  {
    const auto found = std::ranges::find_if(mRuns, [&](const TaskRun& aRun) {
      return aRun.mAgent == aAgent && aRun.mNumber == aNumber;
    });
    return found == mRuns.end() ? nullptr : &*found;
  }
  const TaskRun* FindRun(const AgentId& aAgent, RunNumber aNumber) const
  {
    return const_cast<TaskEntry*>(this)->FindRun(aAgent, aNumber);
  }
};

} // namespace foxtailbarrow::cell
