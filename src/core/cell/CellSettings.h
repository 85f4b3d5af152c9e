#pragma once

#include <algorithm>

#include "foxtailbarrow/Time.h"
#include "src/core/cell/CellLimits.h"
#include "src/core/cell/throttling/InterferenceEstimator.h"

namespace foxtailbarrow::cell {

/// Shortest time of a stop that counts as long. A decision that turns out wrong
/// is corrected by stopping the task and starting it elsewhere; from here on
/// the correction takes about as long as a short task runs.
inline constexpr Duration kLongStop = std::chrono::milliseconds(500);

/// Times and thresholds of the owner's decisions.
struct CellSettings
{
  /// Longest time that a worker of the platform takes to stop a task.
  Duration mStopTime = std::chrono::milliseconds(400);
  /// Longest lease of a task after the last contact of its agent with the
  /// owner. Tasks of a lost worker restart after it; tasks survive a shorter
  /// interruption.
  Duration mMaxTaskLease = std::chrono::milliseconds(3500);
  /// Longest time that an owner grants leases without a confirmation of its
  /// ownership by the store. Tasks survive a store outage of this length. A new
  /// owner waits this long for workers that do not answer.
  Duration mOwnershipTimeout = std::chrono::milliseconds(5600);
  /// Added to every lease that is waited for: covers slow clocks of workers
  /// (2 %) and the time that a worker takes to end tasks whose lease expired.
  Duration mLeaseMargin = std::chrono::milliseconds(350);
  /// How long nothing is started on a worker whose tasks all fail.
  Duration mAvoidFor = std::chrono::seconds(3);
  /// Failures in a row, of two jobs or more, after which a worker is avoided.
  int mFailuresToAvoid = 3;
  /// Before a refused start is retried.
  Duration mRefusalPause = std::chrono::milliseconds(100);
  /// Before the next trial of a suspect whose worker was just lost: about the
  /// time that a crashed worker takes to restart.
  Duration mSuspectPause = std::chrono::milliseconds(2500);
  /// Tasks with checkpoints are stopped at least so long before a draining
  /// worker leaves.
  Duration mMinStopBeforeLeave = std::chrono::milliseconds(900);
  /// Demand of best-effort tasks on a worker over what it has for them. Some
  /// are throttled at any moment, and the others use what these leave; at a far
  /// higher ratio all of them are late.
  double mMaxBestEffortRatio = 1.3;
  /// Share of its target that a serving task's latency may reach by plan, at
  /// the expected load of its job. The rest covers unknown pairs of images and
  /// imprecise measurements.
  double mPlannedLatencyShare = 0.75;
  /// Interference beyond the planned one, in the logarithm of the latency, from
  /// which on no further best-effort task is placed: it would hardly run.
  double mMaxExcessInterference = 0.05;
  /// Share of its reservation that a standing task is assumed to use.
  double mStandingUseShare = 0.5;
  /// Best-effort tasks wait while standing tasks that have been ready for less
  /// than the time demand more than this share of the cell and are not placed.
  /// Saving the starts of all standing tasks takes about half a second.
  double mMaxStandingBacklogShare = 0.02;
  Duration mStandingBacklogWait = std::chrono::milliseconds(1000);
  /// After so long without any running task, a job may use any worker with free
  /// capacity, unless at least mBusyShare of the cell's processors is reserved.
  Duration mStarvingAfter = std::chrono::milliseconds(1500);
  double mBusyShare = 0.6;
  /// A task that may have copies gets one when it has made no progress for so
  /// long, or when its worker is unreachable,
  Duration mCopyAfter = std::chrono::milliseconds(900);
  /// or when it is expected to run this many times the queue's mean run time.
  double mCopySlowness = 2.5;
  /// Concurrent copies in the cell.
  int mMaxCopies = 24;
  /// Between two reviews of all runs for copies and moves. These wait for about
  /// a second, while placement rounds are many times as frequent.
  Duration mRunReviewInterval = std::chrono::milliseconds(100);
  /// A best-effort task that uses less than this share of its demand, after a
  /// grace period from its start, is stalled: throttled for a serving task.
  double mStalledShare = 0.3;
  Duration mStalledGrace = std::chrono::milliseconds(900);
  /// A task that was stalled for so long is stopped, with a checkpoint, when
  /// another worker would accept it. A move costs a stop and a restore.
  Duration mMoveStalledAfter = std::chrono::milliseconds(1200);
  /// Between two such stops on one worker: other tasks may speed up after one.
  Duration mMovePause = std::chrono::milliseconds(500);
  /// How long the task is not placed on that worker again.
  Duration mStalledAvoidFor = std::chrono::seconds(4);
  /// Between two samples of one worker for the interference estimator. Its
  /// measurements cover half a second. Shorter than the interval between two
  /// reports of them, or every second one would be skipped.
  Duration mObserveInterval = std::chrono::milliseconds(450);
  InterferenceSettings mInterference;
  CellLimits mLimits = CellLimits::ForMemory(CellLimits::kDefaultMemory);

  /// When tasks with checkpoints are stopped before a draining worker leaves:
  /// early enough for the stop, its order and the report of its end. Otherwise
  /// the work since the last checkpoint is lost.
  Duration StopBeforeLeave() const
  {
    constexpr Duration kReserve = std::chrono::milliseconds(500);
    return std::max(mMinStopBeforeLeave, mStopTime + kReserve);
  }

  /// The stop of a task that still runs is ordered again after this time.
  Duration StopRetryDelay() const
  {
    constexpr Duration kMinDelay = std::chrono::milliseconds(800);
    constexpr Duration kReserve = std::chrono::milliseconds(200);
    return std::max(kMinDelay, mStopTime + kReserve);
  }

  /// True where stops are long, so that decisions are worth some effort to
  /// avoid moves.
  bool LooksAhead() const { return mStopTime >= kLongStop; }
};

} // namespace foxtailbarrow::cell
