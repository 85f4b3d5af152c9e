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
#include "src/core/cell/Interference.h"
#include "src/core/cell/LookGap.h"
#include "src/core/cell/OverTarget.h"
#include "src/core/cell/OverTargetTimer.h"
#include "src/core/cell/PaceCause.h"
#include "src/core/cell/TraitsBook.h"
#include "src/core/cell/WorkerState.h"

namespace foxtailbarrow::cell {

struct PaceSettings
{
  /// Share of its target that a serving task's tail latency is brought to, and
  /// the share above which it is.
  double mAimedShare = 0.85;
  double mPressedShare = 1.05;
  /// Over its target for so long, everything that may disturb a serving task
  /// stands still; after the second time, every leftover task beside it. Most
  /// swings pass before.
  Duration mHardAfter = std::chrono::milliseconds(1400);
  Duration mAllAfter = std::chrono::milliseconds(2300);
  /// Looks that come further apart than this bring the hard stops forward.
  Duration mUsualLookGap = std::chrono::milliseconds(500);
  /// Weight for each core below which an image may work beside a serving task
  /// that is near its target. Just above the weight that is assumed of unknown
  /// pairs, most of which are harmless.
  double mHarmless = 0.03;
  OverTargetSettings mOverTarget;
  /// Figures cover half a second: a faster step would judge the same one twice.
  Duration mStepEvery = std::chrono::milliseconds(500);
  std::int32_t mRaiseStep = 50; ///< Percent.
  /// Weight of the newest figure in the mean that is judged.
  double mNewest = 0.6;
};

/// A pace to be set at the worker.
struct PaceChange
{
  TaskRef mTask;
  RunNumber mRun = 0;
  std::int32_t mPercent = 100;
  std::string mImage;
  PaceCause mCause;
  bool mRaises = false; ///< The others are to be set before it.
};

/// Slows down those leftover tasks of one worker that press a serving task
/// beside them over its target latency, and speeds them up again. Pure: the
/// looks go in, paces come out. What presses what comes from the cell's owner;
/// without its word every image is taken to press a little.
class PaceGovernor
{
public:
  explicit PaceGovernor(PaceSettings aSettings = {});

  /// What a task is that runs, or may run.
  void NoteTraits(const TaskTraits& aTraits);
  /// A run of it is about to be started, and works at full pace at first. The
  /// paces of other runs are not known.
  void NoteStart(const TaskTraits& aTraits, RunNumber aRun);
  void TakePressures(std::span<const Pressure> aPressures);

  /// The pace to be set for a run that has just started, if it is not to work
  /// at full pace: beside a serving task that is over its target it begins at a
  /// standstill, as the next look may be late.
  std::optional<PaceChange> JudgeStart(const TaskRef& aTask,
                                       RunNumber aRun,
                                       Instant aNow);

  /// Paces to be set after a look. A pace stays due until NotePaced().
  std::vector<PaceChange> Judge(std::span<const RunningTask> aRunning,
                                Instant aNow);
  void NotePaced(const PaceChange& aChange);
  /// The pace may or may not be in force.
  void NoteUnanswered(const PaceChange& aChange);

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

  struct Leftover
  {
    RunNumber mRun = 0;
    std::int32_t mWanted = 100;
    /// The pace in force; empty when it is not known.
    std::optional<std::int32_t> mTold = 100;
    double mCores = 0; ///< In use over the last half second.
    Instant mRaisedAt{};
    bool mSeen = false;
    PaceCause mCause; ///< Of the pace that is wanted.
  };

  /// The serving image that the task must not press now.
  const std::string* Protected(const TaskRef& aTask, Instant aNow) const;
  PaceChange ChangeOf(const TaskRef& aTask, const Leftover& aLeftover) const;
  static bool IsDue(const Leftover& aLeftover);
  void TakeLook(std::span<const RunningTask> aRunning, Instant aNow);
  void TakeLeftover(const TraitsBook::Entry& aKnown,
                    const RunningTask& aRunning);
  void TakeServing(const std::string& aImage, double aShare, Instant aNow);
  double PerCore(const std::string& aServing, const std::string& aImage) const;
  double PressureOf(const std::string& aServing,
                    const TaskRef& aTask,
                    const Leftover& aLeftover) const;
  void Lower(const std::string& aServing, double aExcess);
  void Stop(const std::string& aServing, PaceReason aReason);
  PaceCause Cause(PaceReason aReason,
                  const std::string& aServing,
                  const TaskRef& aTask) const;
  void Relieve(Instant aNow);
  void Raise(Instant aNow);
  /// How long the image will have been over its target by the look after the
  /// next one, at the pace of the looks so far.
  Duration TimeOver(const Serving& aServing, Instant aNow) const;
  double RoomFor(const TaskRef& aTask, Instant aNow) const;

  PaceSettings mSettings;
  TraitsBook mTraits;
  std::map<std::pair<std::string, std::string>, double> mPerCore;
  std::map<std::string, Serving> mServing;
  std::map<TaskRef, Leftover> mLeftover;
  LookGap mLookGap;
  std::size_t mUnknownTasks = 0;
};

} // namespace foxtailbarrow::cell
