#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "foxtailbarrow/Time.h"
#include "src/core/cell/CellMessages.h"
#include "src/core/cell/throttling/InterferenceEstimator.h"
#include "src/core/cell/throttling/OverTarget.h"
#include "src/core/cell/throttling/OverTargetTimer.h"
#include "src/core/cell/throttling/PollIntervalEstimator.h"
#include "src/core/cell/throttling/TaskMetadataTable.h"
#include "src/core/cell/throttling/ThrottleCause.h"
#include "src/core/cell/workers/WorkerState.h"

namespace foxtailbarrow::cell {

struct ThrottleSettings
{
  /// Share of its target that a serving task's tail latency is brought to, and
  /// the share above which that is done.
  double mAimedShare = 0.85;
  double mOverTargetShare = 1.05;
  /// When a serving task has been over its target for the first duration, every
  /// best-effort task that may interfere with it is stopped; after the second,
  /// every colocated best-effort task. Most load swings are shorter.
  Duration mStopAfter = std::chrono::milliseconds(1400);
  Duration mStopAllAfter = std::chrono::milliseconds(2300);
  /// Polls further apart than this make the stops come earlier.
  Duration mUsualPollInterval = std::chrono::milliseconds(500);
  /// Weight per core below which an image is not throttled for a serving task
  /// near its target. Just above the prior of unknown pairs, most of which are
  /// harmless.
  double mHarmlessWeight = 0.03;
  OverTargetSettings mOverTarget;
  /// A measurement covers half a second: a shorter step would react to the same
  /// one twice.
  Duration mStepInterval = std::chrono::milliseconds(500);
  std::int32_t mRaiseStep = 50; ///< Percent.
  /// Weight of the newest measurement in the exponential moving average.
  double mNewestWeight = 0.6;
};

/// A throttle to set at the worker, in percent of full speed; 100 = not
/// throttled.
struct ThrottleChange
{
  TaskRef mTask;
  RunNumber mRun = 0;
  std::int32_t mPercent = 100;
  std::string mImage;
  ThrottleCause mCause;
  bool mRaises = false; ///< Sent after the changes that lower a throttle.
};

/// Throttles the best-effort tasks of one worker that push a colocated serving
/// task over its target latency, and speeds them up again. Does no I/O: poll
/// results go in, throttle changes come out. The cell's owner supplies the
/// interference weights; without them every image is assumed to interfere a
/// little.
class ThrottleController
{
public:
  explicit ThrottleController(ThrottleSettings aSettings = {});

  /// Sets the metadata of a task that runs or may run.
  void SetMetadata(const TaskMetadata& aMetadata);
  /// A run of the task is about to be started, at full speed. The throttle of a
  /// run that was not started here is unknown.
  void OnStart(const TaskMetadata& aMetadata, RunNumber aRun);
  void SetInterferenceWeights(std::span<const InterferenceWeight> aWeights);

  /// The throttle for a run that has just started, unless it may run at full
  /// speed. A run that may interfere with a serving task over its target starts
  /// stopped, as the next poll may be late.
  std::optional<ThrottleChange> ThrottleForStart(const TaskRef& aTask,
                                                 RunNumber aRun,
                                                 Instant aNow);

  /// Changes to send after a poll. A change stays due until OnThrottled().
  std::vector<ThrottleChange> Update(std::span<const RunningTask> aRunning,
                                     Instant aNow);
  void OnThrottled(const ThrottleChange& aChange);
  /// The change may or may not be in force.
  void OnUnanswered(const ThrottleChange& aChange);

  /// Serving images that were over their target in the newest poll.
  std::vector<OverTarget> OverTargets(Instant aNow) const;
  /// Tasks of the newest poll whose metadata is not known.
  std::size_t UnknownTasks() const { return mUnknownTasks; }

private:
  struct Serving
  {
    /// Logarithm of the worst latency as a share of the target, smoothed.
    double mLatency = 0;
    OverTargetTimer mTimer;
    Instant mLoweredAt{};
    bool mObserved = false; ///< In the poll being processed.
  };

  struct BestEffortTask
  {
    RunNumber mRun = 0;
    std::int32_t mWanted = 100;
    /// The throttle in force; empty when it is not known.
    std::optional<std::int32_t> mInForce = 100;
    double mCores = 0; ///< In use over the last half second.
    Instant mRaisedAt{};
    bool mObserved = false;
    ThrottleCause mCause; ///< Of mWanted.
  };

  /// A serving image over its target that the task may interfere with, or null.
  const std::string* ServingToProtect(const TaskRef& aTask, Instant aNow) const;
  ThrottleChange ChangeOf(const TaskRef& aTask,
                          const BestEffortTask& aBestEffort) const;
  static bool IsDue(const BestEffortTask& aBestEffort);
  void OnPoll(std::span<const RunningTask> aRunning, Instant aNow);
  void UpdateBestEffort(const TaskMetadataTable::Entry& aEntry,
                        const RunningTask& aRunning);
  void UpdateServing(const std::string& aImage, double aShare, Instant aNow);
  double PerCore(const std::string& aServing, const std::string& aImage) const;
  double InterferenceOf(const std::string& aServing,
                        const TaskRef& aTask,
                        const BestEffortTask& aBestEffort) const;
  void Lower(const std::string& aServing, double aExcess);
  void Stop(const std::string& aServing, ThrottleReason aReason);
  ThrottleCause Cause(ThrottleReason aReason,
                      const std::string& aServing,
                      const TaskRef& aTask) const;
  void ReduceInterference(Instant aNow);
  void Raise(Instant aNow);
  /// How long the image has been over its target, plus the delay that late
  /// polls are expected to add.
  Duration TimeOver(const Serving& aServing, Instant aNow) const;
  double HeadroomFor(const TaskRef& aTask, Instant aNow) const;

  ThrottleSettings mSettings;
  TaskMetadataTable mMetadata;
  std::map<std::pair<std::string, std::string>, double> mPerCore;
  std::map<std::string, Serving> mServing;
  std::map<TaskRef, BestEffortTask> mBestEffort;
  PollIntervalEstimator mPollInterval;
  std::size_t mUnknownTasks = 0;
};

} // namespace foxtailbarrow::cell
