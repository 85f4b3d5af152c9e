#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Resources.h"
#include "foxtailbarrow/Time.h"
#include "src/core/cell/TaskRef.h"
#include "src/core/cell/crashes/CrashedWorker.h"
#include "src/core/cell/workers/WorkerIncarnation.h"

namespace foxtailbarrow::cell {

/// What a worker reports about itself.
struct WorkerInfo
{
  WorkerIncarnation mIncarnation;
  ServiceId mService;
  FailureDomainId mFailureDomain;
  RackId mRack;
  std::vector<std::string> mLabels;
  Resources mCapacity;
  bool mDraining = false;
  Duration mDrainLeft{}; ///< Least time until it leaves, while draining.
  /// It has left: nothing of this incarnation runs or ever will.
  bool mLeft = false;

  bool operator==(const WorkerInfo&) const = default;
};

/// The state of a task that runs on the worker.
struct RunningTask
{
  TaskRef mTask;
  RunNumber mRun = 0;
  std::string mCheckpoint;   ///< Newest saved; empty = none.
  std::int32_t mPercent = 0; ///< Work done; 100 for a standing task at work.
  /// Tail latency in ms of a serving task, else millicores in use, over the
  /// last half second.
  std::int64_t mFigure = 0;
  /// When it was first known to run, by the agent's clock; zero = unknown.
  Duration mSince{};

  bool operator==(const RunningTask&) const = default;
};

/// How a run ended.
enum class RunEnd : std::uint8_t
{
  Done,
  Failed,         ///< By a fault of the task or the worker.
  Stopped,        ///< On request.
  LeaseExpired,   ///< Its lease expired.
  GangBroken,     ///< Another member of its gang ended.
  GangIncomplete, ///< Timed out waiting for the rest of its gang.
};

std::string_view ToString(RunEnd aEnd);

/// An ended run, listed by the worker until it is acknowledged.
struct EndedTask
{
  std::int64_t mNumber = 0; ///< Counts from 1 in each incarnation.
  TaskRef mTask;
  RunNumber mRun = 0;
  RunEnd mEnd = RunEnd::Done;
  std::string mCheckpoint; ///< Newest saved; empty = none.

  bool operator==(const EndedTask&) const = default;
};

/// Complete state of a worker at one moment.
struct WorkerState
{
  WorkerInfo mInfo;
  std::vector<RunningTask> mRunning;
  std::vector<EndedTask> mEnded; ///< Not acknowledged yet, by number.
  /// Crashes of the worker's earlier incarnations, oldest first, so that an
  /// owner that did not see these runs counts them too. Part of full reports.
  std::vector<CrashedWorker> mCrashes{};

  /// True if nothing is known, not even the worker.
  bool Empty() const { return *this == WorkerState(); }

  bool operator==(const WorkerState&) const = default;
};

} // namespace foxtailbarrow::cell
