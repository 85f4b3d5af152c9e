#pragma once

#include "foxtailbarrow/Time.h"
#include "src/core/cell/InterferenceEstimator.h"

namespace foxtailbarrow::cell {

/// Times and weights of the owner's decisions.
struct CellSettings
{
  /// Longest lease of a task beyond its agent's last word with the owner. A
  /// lost worker's tasks restart after it; a shorter cut is survived.
  Duration mMaxTaskLease = std::chrono::milliseconds(3500);
  /// Longest time that an owner grants leases without a confirmation of its
  /// ownership by the store. A store outage of this length is survived. A new
  /// owner waits it out for workers that do not answer.
  Duration mOwnershipTimeout = std::chrono::milliseconds(5600);
  /// Added to every waited lease: slow clocks of workers (2 %) and the time
  /// that a worker takes to end what has lapsed.
  Duration mLeaseMargin = std::chrono::milliseconds(350);
  /// How long nothing is started on a worker that fails all it starts.
  Duration mAvoidFor = std::chrono::seconds(3);
  /// Failures in a row, of two jobs or more, after which a worker is avoided.
  int mFailuresToAvoid = 3;
  /// Before a start is tried again at a worker that refused it.
  Duration mRefusalPause = std::chrono::milliseconds(100);
  /// Before a suspect is tried whose worker has just gone: about the time after
  /// which a crashed worker is back.
  Duration mSuspectPause = std::chrono::milliseconds(2500);
  /// Before a draining worker leaves, tasks with checkpoints are stopped.
  Duration mEvacuateBefore = std::chrono::milliseconds(900);
  /// Demand of leftover tasks on a worker over what it has for them. Some are
  /// held down at any moment, and the others use what these leave; far above
  /// it all are late together.
  double mMaxBestEffortRatio = 1.3;
  /// Share of its target that a serving task's latency may come to by plan, at
  /// the load that its job is expected to have. The rest is for what is not
  /// known: new pairs of images, rough figures.
  double mPlannedLatencyShare = 0.75;
  /// Pressure over what was planned, in the logarithm of the latency, from
  /// which on no further leftover task is placed: such a task would hardly run.
  double mMaxExcessInterference = 0.05;
  /// Share of its reservation that a standing task is taken to use.
  double mStandingUseShare = 0.5;
  /// Without any running task for so long, a job takes any worker with room,
  /// unless more than mBusyShare of the cell's processors are reserved.
  Duration mStarvingAfter = std::chrono::milliseconds(1500);
  double mBusyShare = 0.6;
  /// A task that may have copies gets one when it has made no progress for so
  /// long, or when its worker has been silent.
  Duration mCopyAfter = std::chrono::milliseconds(900);
  /// Or when it is expected to last so many times as long as its like.
  double mCopySlowness = 2.5;
  /// Copies of a cell at a time.
  int mMaxCopies = 24;
  /// Between two looks over all runs for copies and moves. These wait for about
  /// a second, while rounds of placing are many times as frequent.
  Duration mRunReviewInterval = std::chrono::milliseconds(100);
  /// A leftover task that uses less than this share of its demand, later than
  /// so long after its start, is stalled: slowed down for a serving task.
  double mStalledShare = 0.3;
  Duration mStalledGrace = std::chrono::milliseconds(900);
  /// A task that was stalled for so long is stopped, with a checkpoint, when
  /// another worker would take it. A move costs a stop and a restore.
  Duration mMoveStalledAfter = std::chrono::milliseconds(1200);
  /// Between two such stops on one worker: the others may go faster after one.
  Duration mMovePause = std::chrono::milliseconds(500);
  /// How long the task is not placed there again.
  Duration mStalledAvoid = std::chrono::seconds(4);
  /// Between two looks at one worker that interference is learned from: its
  /// figures cover half a second. Shorter than between two reports of figures,
  /// or every second one would be passed over.
  Duration mObserveInterval = std::chrono::milliseconds(450);
  InterferenceSettings mInterference;
};

} // namespace foxtailbarrow::cell
