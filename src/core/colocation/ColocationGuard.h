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
  /// Excess of the service's tail latency over the baseline above which tasks
  /// are throttled, and below which throttles are relaxed, for equal weights of
  /// tail latency and evictions.
  double mMaxExcess = 0.5;
  double mRecoveredExcess = 0.15;
  int mBadWindows = 3;   ///< In a row, before throttling.
  int mGoodWindows = 10; ///< In a row, before relaxing.
  Duration mCoolDown = std::chrono::seconds(3); ///< Between two steps.
  Duration mBackOff = std::chrono::seconds(20); ///< After relaxing failed.
  Duration mMaxBackOff = std::chrono::minutes(10);
  double mMinFraction = 0.25; ///< At it, batch tasks are evicted instead.
  /// Delay before a window is evaluated, so that usage reports can arrive.
  Duration mUsageWait = std::chrono::seconds(3);
};

/// Limits the interference of colocated tasks with a service's tail latency.
///
/// Inputs: the tasks on the worker, their usage (reported late), the service's
/// latencies per window, the contract's weights. Output: actions on the task
/// with the largest learned interference: halve its processors repeatedly, then
/// evict it (batch only).
///
/// Guarantees: a measurement is attributed to the placement in force when it
/// was taken, and only measurements taken after the latest step lead to
/// another; steps are at least a cool-down apart; a relaxed throttle that
/// caused excess again is not retried for an exponentially growing time. The
/// larger the weight of evictions relative to tail latency, the more and the
/// longer excess is tolerated. Not thread-safe.
class ColocationGuard
{
public:
  explicit ColocationGuard(ColocationSettings aSettings = {});

  /// Weight of the service's tail latency, from its customers' contracts.
  void SetLatencyWeight(double aWeight) { mLatencyWeight = aWeight; }

  /// Sets the current tasks; mFraction and mUsed are ignored.
  void SetTasks(std::vector<ColocatedTask> aTasks, Instant aNow);

  /// `aUsed`: fraction of the worker's processors.
  void OnUsage(const TaskKey& aKey, double aUsed, Instant aTakenAt);

  void OnLatencies(const LatencyWindow& aWindow);

  /// Returns the actions to perform now.
  std::vector<ColocationAction> Advance(Instant aNow);

  /// Of the last evaluated window.
  double Excess() const { return mExcess; }
  double FractionOf(const TaskKey& aKey) const;

private:
  struct State
  {
    double mFraction = 1.0;
    bool mEvicting = false;
    Instant mRaisedAt{};
    double mFullUse = -1.0; ///< Usage at full speed; < 0 = unknown.
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
  void HalveFraction(ColocatedTask& aTask,
                     std::vector<ColocationAction>& aActions);
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
  std::deque<LatencyWindow> mWindows; ///< Not yet evaluated, oldest first.
  std::size_t mLevel = 0;             ///< Of the last evaluated window.
  double mExcess = 0.0;
  int mBadInRow = 0;
  int mGoodInRow = 0;
  Instant mSteppedAt{};
  std::map<std::string, BackOff> mBackOffs; ///< By class.
};

} // namespace foxtailbarrow
