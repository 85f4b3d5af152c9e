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
#include "src/core/cell/InterferenceEstimator.h"
#include "src/core/cell/OverTarget.h"
#include "src/core/cell/OverTargetTimer.h"
#include "src/core/cell/PollIntervalEstimator.h"
#include "src/core/cell/TaskMetadataTable.h"
#include "src/core/cell/ThrottleCause.h"
#include "src/core/cell/WorkerState.h"

namespace foxtailbarrow::cell {

struct ThrottleSettings
{
  /// Share of its target that a serving task's tail latency is brought to, and
  /// the share above which it is.
  double mAimedShare = 0.85;
  double mOverTargetShare = 1.05;
  /// Over its target for so long, everything that may disturb a serving task
  /// stands still; after the second time, every leftover task beside it. Most
  /// swings pass before.
  Duration mStopAfter = std::chrono::milliseconds(1400);
  Duration mStopAllAfter = std::chrono::milliseconds(2300);
  /// Looks that come further apart than this bring the hard stops forward.
  Duration mUsualPollInterval = std::chrono::milliseconds(500);
  /// Weight for each core below which an image may work beside a serving task
  /// that is near its target. Just above the weight that is assumed of unknown
  /// pairs, most of which are harmless.
  double mHarmlessWeight = 0.03;
  OverTargetSettings mOverTarget;
  /// Figures cover half a second: a faster step would judge the same one twice.
  Duration mStepEvery = std::chrono::milliseconds(500);
  std::int32_t mRaiseStep = 50; ///< Percent.
  /// Weight of the newest figure in the mean that is judged.
  double mNewestWeight = 0.6;
};

/// A pace to be set at the worker.
struct ThrottleChange
{
  TaskRef mTask;
  RunNumber mRun = 0;
  std::int32_t mPercent = 100;
  std::string mImage;
  ThrottleCause mCause;
  bool mRaises = false; ///< The others are to be set before it.
};

/// Slows down those leftover tasks of one worker that press a serving task
/// beside them over its target latency, and speeds them up again. Pure: the
/// looks go in, paces come out. What presses what comes from the cell's owner;
/// without its word every image is taken to press a little.
class ThrottleController
{
public:
  explicit ThrottleController(ThrottleSettings aSettings = {});

  /// What a task is that runs, or may run.
  void SetMetadata(const TaskMetadata& aTraits);
  /// A run of it is about to be started, and works at full pace at first. The
  /// paces of other runs are not known.
  void OnStart(const TaskMetadata& aTraits, RunNumber aRun);
  void SetInterferenceWeights(std::span<const InterferenceWeight> aPressures);

  /// The pace to be set for a run that has just started, if it is not to work
  /// at full pace: beside a serving task that is over its target it begins at a
  /// standstill, as the next look may be late.
  std::optional<ThrottleChange> ThrottleForStart(const TaskRef& aTask,
                                                 RunNumber aRun,
                                                 Instant aNow);

  /// Paces to be set after a look. A pace stays due until OnThrottled().
  std::vector<ThrottleChange> Update(std::span<const RunningTask> aRunning,
                                     Instant aNow);
  void OnThrottled(const ThrottleChange& aChange);
  /// The pace may or may not be in force.
  void OnUnanswered(const ThrottleChange& aChange);

  /// Serving images that were over their target in the newest look.
  std::vector<OverTarget> OverTargets(Instant aNow) const;
  /// Tasks of the newest look whose traits are not known.
  std::size_t UnknownTasks() const { return mUnknownTasks; }

private:
  struct Serving
  {
    double mLatency = 0; ///< Logarithm of the worst latency over the target.
    OverTargetTimer mTimer;
    Instant mLoweredAt{};
    bool mSeen = false; ///< In the look that is judged.
  };

  struct BestEffortTask
  {
    RunNumber mRun = 0;
    std::int32_t mWanted = 100;
    /// The pace in force; empty when it is not known.
    std::optional<std::int32_t> mInForce = 100;
    double mCores = 0; ///< In use over the last half second.
    Instant mRaisedAt{};
    bool mSeen = false;
    ThrottleCause mCause; ///< Of the pace that is wanted.
  };

  /// The serving image that the task must not press now.
  const std::string* Protected(const TaskRef& aTask, Instant aNow) const;
  ThrottleChange ChangeOf(const TaskRef& aTask,
                          const BestEffortTask& aBestEffort) const;
  static bool IsDue(const BestEffortTask& aBestEffort);
  void OnPoll(std::span<const RunningTask> aRunning, Instant aNow);
  void UpdateBestEffort(const TaskMetadataTable::Entry& aKnown,
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
  void Relieve(Instant aNow);
  void Raise(Instant aNow);
  /// How long the image will have been over its target by the look after the
  /// next one, at the pace of the looks so far.
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
