#pragma once

#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "src/core/cell/CellMessages.h"
#include "tests/load/LoadPattern.h"

namespace foxtailbarrow::cell::test {

/// Interference weight of each pair of a serving and a best-effort image,
/// hidden from the scheduler.
using HiddenWeights = std::map<std::pair<std::string, std::string>, double>;

/// Model of a worker in virtual time: best-effort tasks share the cores that
/// the serving tasks leave, and interfere with them.
class ModelWorker
{
public:
  ModelWorker(const LoadPattern& aPattern,
              const HiddenWeights& aWeights,
              int aNumber);

  /// All running tasks are lost; the next incarnation is empty.
  void Crash();

  /// `aWork`: core-seconds until the task is done; 0 = runs until stopped.
  void Start(const StartOrder& aOrder, const StepSpec& aSpec, double aWork);
  void Stop(const StopOrder& aOrder);
  void Throttle(const TaskRef& aTask, std::int32_t aPercent);

  /// Advances the model by `aSeconds` to `aNow`.
  void Advance(double aSeconds, double aNow);
  /// Updates the measurements, which cover the time since the last call.
  void UpdateMeasurements(std::mt19937& aRandom);

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
    double mShare = 1; ///< Throttle, as a share of full speed.
    double mRate = 0;  ///< Cores in use now.
    double mUsed = 0;  ///< Core-seconds since the last measurement.
    std::int64_t mFigure = 0;
  };

  double LoadOf(const Task& aTask, double aNow) const;
  void End(const TaskRef& aTask, RunEnd aEnd);
  void AdvanceServing(double aSeconds, double aNow);

  LoadPattern mPattern;
  const HiddenWeights* mWeights;
  int mNumber;
  int mRestarts = 0;
  double mNow = 0;
  std::map<TaskRef, Task> mTasks;
  std::vector<EndedTask> mEnded;
  std::int64_t mLastEnd = 0;
  std::map<std::string, double> mLatencySum; ///< Logarithms, by image.
  double mCovered = 0; ///< Seconds that the next measurements cover.
  double mServingSeconds = 0;
  double mOverTargetSeconds = 0;
};

} // namespace foxtailbarrow::cell::test
