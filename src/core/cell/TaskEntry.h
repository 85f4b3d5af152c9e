#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Time.h"
#include "src/core/cell/CrashHistory.h"
#include "src/core/cell/TaskRef.h"
#include "src/core/cell/TaskTime.h"

namespace foxtailbarrow::cell {

enum class RunPhase : std::uint8_t
{
  Ordered, ///< The agent has not answered yet: it may or may not run.
  Running,
  Stopping, ///< Holds its room until its end is listed.
};

/// One run of a task that may be there.
struct TaskRun
{
  AgentId mAgent{};
  RunNumber mNumber = 0;
  RunPhase mPhase = RunPhase::Ordered;
  Instant mOrderedAt{};
  /// Of the orders that started it in the session in force; 0 = it was there
  /// when the session began.
  std::int64_t mOrderNumber = 0;
  bool mSent = false; ///< The order has left: it may have run.
  Instant mRunningSince{};
  /// It was alive for so long at least, by its agent's clock.
  Duration mUptime{};
  std::int32_t mPercent = 0;
  Instant mPercentChangedAt{};
  Instant mStopOrderedAt{};
  /// A leftover task's, that is hardly at work; nullopt while it is.
  std::optional<Instant> mStalledSince{};
  Instant mFigureAt{}; ///< Its newest figure was counted.

  /// Its worker has said that it runs.
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

/// What the owner knows of one task.
struct TaskEntry
{
  bool mDone = false;
  std::vector<RunNumber> mFailedRuns;
  std::string mCheckpoint;
  std::vector<TaskRun> mRuns;
  RunNumber mLastRun = 0;
  Instant mNotBefore{}; ///< No start before; set after a refusal.
  Instant mIdleSince{};
  TaskTime mTime; ///< Of a leftover task.
  std::vector<AgentId> mFailedOn;
  AgentId mStalledOn;      ///< Not placed there again
  Instant mStalledUntil{}; ///< before this.
  /// Runs of earlier owners whose leases this owner has waited out.
  std::vector<RunNumber> mExpiredRuns;
  CrashHistory mCrashes;
  bool mProven = false; ///< A run of it has lived for kProvenUptime.
  /// Version of the job's progress that must be recorded before a start.
  std::uint64_t mCrashVersion = 0;
  Instant mCrashedAt{}; ///< The newest crash was noted.

  bool Idle() const { return !mDone && mRuns.empty(); }

  TaskRun* FindRun(const AgentId& aAgent, RunNumber aNumber)
  {
    const auto found = std::ranges::find_if(mRuns, [&](const TaskRun& aRun) {
      return aRun.mAgent == aAgent && aRun.mNumber == aNumber;
    });
    return found == mRuns.end() ? nullptr : &*found;
  }
};

} // namespace foxtailbarrow::cell
