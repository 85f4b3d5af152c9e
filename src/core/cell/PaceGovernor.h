#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <vector>

#include "foxtailbarrow/Time.h"
#include "src/core/cell/CellMessages.h"
#include "src/core/cell/WorkerState.h"

namespace foxtailbarrow::cell {

struct PaceSettings
{
  /// Of its target, from which on a serving task counts as pressed.
  double mPressedShare = 0.9;
  /// Of its target, from which on it counts as far over.
  double mFarOverShare = 1.4;
  /// Of its target, below which there is room to speed up again.
  double mRelaxedShare = 0.65;
  /// Figures cover half a second: faster steps would judge the same one twice.
  Duration mStepDown = std::chrono::milliseconds(500);
  Duration mStepUp = std::chrono::milliseconds(1000);
};

/// A pace to be set at the worker.
struct PaceChange
{
  TaskRef mTask;
  RunNumber mRun = 0;
  std::int32_t mPercent = 100;
};

/// Slows the leftover tasks of one worker while a serving task beside them is
/// over its target latency, and speeds them up again step by step. Pure: the
/// looks go in, paces come out.
class PaceGovernor
{
public:
  explicit PaceGovernor(PaceSettings aSettings = {});

  void NoteTraits(const TaskTraits& aTraits);

  /// Paces to be set after a look. A pace stays due until NotePaced().
  std::vector<PaceChange> Judge(std::span<const RunningTask> aRunning,
                                Instant aNow);
  void NotePaced(const PaceChange& aChange);

  std::int32_t Percent() const;

private:
  void Step(double aWorst, Instant aNow);

  PaceSettings mSettings;
  std::map<TaskRef, TaskTraits> mTraits;
  std::map<TaskRef, PaceChange> mPaced; ///< What the worker was told.
  std::size_t mLevel = 0;
  Instant mSteppedAt{};
};

} // namespace foxtailbarrow::cell
