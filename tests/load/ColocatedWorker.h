#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "src/core/cell/TaskWorker.h"
#include "src/core/cell/ThrottleController.h"

namespace foxtailbarrow::cell::test {

/// One worker with a serving image whose load swings, beside leftover tasks
/// that press it, and an agent that may be late. Times are in seconds.
struct ColocatedWorkerPattern
{
  const char* mName;
  double mNoise = 0.08; ///< Deviation of a figure's logarithm.
  double mPollEvery = 0.4;
  double mLatePolls = 0;     ///< Share of the looks that come 1 s late.
  double mTaskLength = 0;    ///< Mean; 0 = leftover tasks do not end.
  double mLateThrottles = 0; ///< Share without an answer, carried out late.
};

/// What came of one replay.
struct ColocatedWorkerOutcome
{
  double mLongestOverTarget = 0; ///< On end, by what runs beside it.
  double mOver = 0;              ///< In all.
  double mWork = 0;              ///< Share of the leftover tasks' full speed.
};

/// Plays the pattern in virtual time against a ThrottleController that knows
/// how much each pair of images presses.
class ColocatedWorker
{
public:
  ColocatedWorker(const ColocatedWorkerPattern& aPattern, std::uint32_t aSeed);

  ColocatedWorkerOutcome Play();

private:
  struct LateThrottle
  {
    double mAt = 0;
    Fence mFence = 0;
    std::int32_t mPercent = 0;
  };

  struct BestEffortTask
  {
    TaskRef mTask;
    double mPerCore = 0;
    double mEndsAt = 0; ///< In its own work.
    double mWorked = 0;
    double mThrottle = 1;
    std::vector<LateThrottle> mPending;
  };

  BestEffortTask NewTask();
  void AddTask();
  double OwnLoad(double aNow) const;
  double CurrentInterference() const;
  /// Lets one step of time pass at the worker.
  void Pass(double aNow);
  void UpdateFigure();
  /// The agent's look and the paces that follow. Returns when it is done.
  double Poll(double aNow);
  /// Returns true when the pace was answered.
  bool SendThrottle(const ThrottleChange& aChange, double aNow);
  double SendThrottles(const ThrottleChange& aChange, double aNow);
  bool Chance(double aShare);

  ColocatedWorkerPattern mPattern;
  std::mt19937 mRandom;
  ThrottleController mController;
  std::vector<BestEffortTask> mTasks;
  Fence mAgentFence = 1;
  Fence mWorkerFence = 0;
  double mPeriod = 0;
  double mPhase = 0;
  double mLatencySum = 0; ///< Logarithms since the last figure.
  int mLatencySteps = 0;
  std::int64_t mFigure = 0;
  int mNumber = 0;
  double mOverSince = -1;
  ColocatedWorkerOutcome mOutcome;
};

} // namespace foxtailbarrow::cell::test
