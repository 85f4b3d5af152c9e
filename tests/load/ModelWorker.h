#pragma once

#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "src/core/cell/CellMessages.h"
#include "tests/load/LoadPattern.h"

namespace foxtailbarrow::cell::test {

/// How much each pair of a serving and a leftover image presses, hidden from
/// the scheduler.
using HiddenWeights = std::map<std::pair<std::string, std::string>, double>;

/// A worker that runs what it is told: leftover tasks share what the serving
/// ones leave, and press them. In virtual time.
class ModelWorker
{
public:
  ModelWorker(const LoadPattern& aPattern,
              const HiddenWeights& aWeights,
              int aNumber);

  /// What runs is lost; the next incarnation is empty.
  void Crash();

  /// `aWork`: core-seconds until it is done; 0 = lasts.
  void Start(const StartOrder& aOrder, const StepSpec& aSpec, double aWork);
  void Stop(const StopOrder& aOrder);
  void Throttle(const TaskRef& aTask, std::int32_t aPercent);

  /// Lets `aSeconds` pass; `aNow` is the end of them.
  void Pass(double aSeconds, double aNow);
  /// Brings the figures up to date: they cover the time since the last call.
  void UpdateFigures(std::mt19937& aRandom);

  WorkerState State() const;
  void Acknowledge(std::int64_t aNumber);

  double ServingSeconds() const { return mServingSeconds; }
  double OverTargetSeconds() const { return mOverTargetSeconds; }

private:
  struct Task
  {
    StartOrder mOrder;
    double mStartedAt = 0;
    double mDemand = 0; ///< Cores.
    bool mStanding = false;
    double mWork = 0;
    double mWorkDone = 0;
    double mShare = 1; ///< Its pace.
    double mRate = 0;  ///< Cores in use now.
    double mUsed = 0;  ///< Core-seconds since the last figures.
    std::int64_t mFigure = 0;
  };

  double LoadOf(const Task& aTask, double aNow) const;
  void End(const TaskRef& aTask, RunEnd aEnd);
  void PassServing(double aSeconds, double aNow);

  LoadPattern mPattern;
  const HiddenWeights* mWeights;
  int mNumber;
  int mRestarts = 0;
  double mNow = 0;
  std::map<TaskRef, Task> mTasks;
  std::vector<EndedTask> mEnded;
  std::int64_t mLastEnd = 0;
  std::map<std::string, double> mLatencySum; ///< Logarithms, by image.
  double mCovered = 0;                       ///< Seconds of the figures.
  double mServingSeconds = 0;
  double mOverTargetSeconds = 0;
};

} // namespace foxtailbarrow::cell::test
