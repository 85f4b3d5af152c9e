#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Resources.h"
#include "foxtailbarrow/Time.h"
#include "src/core/cell/CrashedWorker.h"
#include "src/core/cell/TaskRef.h"

namespace foxtailbarrow::cell {

/// One life of a worker: a restarted worker has another incarnation and runs
/// nothing.
using WorkerIncarnation = Id<struct WorkerIncarnationTag>;

/// What a worker says of itself.
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
  bool mGone = false;

  bool operator==(const WorkerInfo&) const = default;
};

/// A task as its worker runs it now.
struct RunningTask
{
  TaskRef mTask;
  RunNumber mRun = 0;
  std::string mCheckpoint;   ///< Newest saved; empty = none.
  std::int32_t mPercent = 0; ///< Work done; 100 = at work, for standing tasks.
  /// Tail latency in ms of a serving task, else millicores in use, over the
  /// last half second.
  std::int64_t mFigure = 0;
  /// By the agent's clock: it was first known to run. Zero = not known.
  Duration mSince{};

  bool operator==(const RunningTask&) const = default;
};

/// How a run ended.
enum class RunEnd : std::uint8_t
{
  Done,
  Failed,         ///< By its own fault or the worker's.
  Stopped,        ///< On request.
  LeaseExpired,   ///< Its lease ran out.
  GangBroken,     ///< Another member of its gang ended.
  GangIncomplete, ///< Waited in vain for the other members of its gang.
};

std::string_view ToString(RunEnd aEnd);

/// An end that the worker lists until it is acknowledged.
struct EndedTask
{
  std::int64_t mNumber = 0; ///< Rises from 1 in each incarnation.
  TaskRef mTask;
  RunNumber mRun = 0;
  RunEnd mEnd = RunEnd::Done;
  std::string mCheckpoint; ///< Newest saved; empty = none.

  bool operator==(const EndedTask&) const = default;
};

/// All that a worker knows at one moment.
struct WorkerState
{
  WorkerInfo mInfo;
  std::vector<RunningTask> mRunning;
  std::vector<EndedTask> mEnded; ///< Not acknowledged yet, by number.
  /// Of the worker's earlier incarnations, oldest first: so that an owner which
  /// did not see them run counts them too. Told whenever all is told.
  std::vector<CrashedWorker> mCrashes{};

  /// True when not even the worker is known.
  bool Empty() const { return *this == WorkerState(); }

  bool operator==(const WorkerState&) const = default;
};

} // namespace foxtailbarrow::cell
