#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "foxtailbarrow/Time.h"
#include "src/core/colocation/ColocationAction.h"
#include "src/core/colocation/InterferenceModel.h"
#include "src/core/colocation/LatencyRecorder.h"
#include "src/core/colocation/PlacementHistory.h"

namespace foxtailbarrow {

struct ColocationSettings
{
  /// Excess of the service's tail over its calm one that is too much, and that
  /// is well again, where tail latency and evictions weigh the same.
  double mMaxExcess = 0.5;
  double mRecoveredExcess = 0.15;
  int mBadWindows = 3;   ///< In a row, before a step against a task.
  int mGoodWindows = 10; ///< In a row, before a step back.
  Duration mCoolDown = std::chrono::seconds(3); ///< Between two steps.
  Duration mBackOff = std::chrono::seconds(20); ///< After a step back failed.
  Duration mMaxBackOff = std::chrono::minutes(10);
  double mMinFraction = 0.25; ///< Below it, batch tasks are evicted.
  /// A window is judged this long after its end, when usage has come in.
  Duration mUsageWait = std::chrono::seconds(3);
};

/// Keeps batch work beside a service from hurting the service's tail latency.
///
/// Inputs: the tasks here, their late usage, the service's own latencies by
/// window, the contract's weights. Output: steps against the task that is
/// learned to hurt most: throttle by halves, then evict (batch only).
///
/// Promises: a measurement counts for the placement in force when it was taken,
/// and none taken before the latest step leads to another; steps are a
/// cool-down apart; a step back that made matters bad again is not repeated for
/// a growing time. The heavier evictions weigh against tail latency, the more
/// excess is borne and the longer it must last. Not safe for use by several
/// threads.
class ColocationGuard
{
public:
  explicit ColocationGuard(ColocationSettings aSettings = {});

  /// Weight of the service's tail latency, from its customers' contracts.
  void SetLatencyWeight(double aWeight) { mLatencyWeight = aWeight; }

  /// The tasks from now on; mFraction and mUsed are ignored.
  void SetTasks(std::vector<ColocatedTask> aTasks, Instant aNow);

  /// `aUsed`: part of the worker's processors.
  void OnUsage(const TaskKey& aKey, double aUsed, Instant aTakenAt);

  void OnLatencies(const LatencyWindow& aWindow);

  /// The steps to take now.
  std::vector<ColocationAction> Advance(Instant aNow);

  /// Of the window judged last.
  double Excess() const { return mExcess; }
  double FractionOf(const TaskKey& aKey) const;

private:
  struct State
  {
    double mFraction = 1.0;
    bool mEvicting = false;
    Instant mRaisedAt{};
    double mFullUse = -1.0; ///< Used at full speed; < 0 = not known.
  };

  struct BackOff
  {
    Duration mLength{};
    Instant mUntil{};
  };

  void EvaluateWindow(const LatencyWindow& aWindow);
  void ThrottleOrEvict(Instant aNow, std::vector<ColocationAction>& aActions);
  void RelaxThrottle(Instant aNow, std::vector<ColocationAction>& aActions);
  void ThrottleAhead(Instant aNow, std::vector<ColocationAction>& aActions);
  void Halve(ColocatedTask& aTask, std::vector<ColocationAction>& aActions);
  void SetFraction(ColocatedTask& aTask,
                   double aFraction,
                   std::vector<ColocationAction>& aActions);
  void ExtendBackOff(const ColocatedTask& aTask, Instant aNow);
  bool MayRaise(const ColocatedTask& aTask, Instant aNow) const;
  bool MayAct(const ColocatedTask& aTask) const;
  bool MayThrottle(const ColocatedTask& aTask) const;
  ColocatedTask* MostInterfering(bool aToThrottle);
  double InterferenceOf(const ColocatedTask& aTask) const;
  double ToleranceFactor(double aEvictionWeight) const;
  double AllowedExcess() const;
  void OnStepTaken(Instant aNow);

  const ColocationSettings mSettings;
  double mLatencyWeight = 1.0;
  std::vector<ColocatedTask> mTasks;
  std::map<TaskKey, State> mStates;
  PlacementHistory mHistory;
  InterferenceModel mModel;
  std::deque<LatencyWindow> mWindows; ///< Not yet judged, oldest first.
  std::size_t mLevel = 0;             ///< Of the window judged last.
  double mExcess = 0.0;
  int mBad = 0;
  int mGood = 0;
  Instant mSteppedAt{};
  std::map<std::string, BackOff> mBackOffs; ///< By class.
};

} // namespace foxtailbarrow
