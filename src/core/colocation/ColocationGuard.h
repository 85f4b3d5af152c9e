#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "foxtailbarrow/Time.h"
#include "src/core/colocation/ColocationAct.h"
#include "src/core/colocation/InterferenceModel.h"
#include "src/core/colocation/LatencyRecorder.h"
#include "src/core/colocation/PlacementHistory.h"

namespace foxtailbarrow {

struct ColocationSettings
{
  /// Excess of the service's tail over its calm one that is too much, and that
  /// is well again, where tail latency and evictions weigh the same.
  double mTooMuch = 0.5;
  double mWell = 0.15;
  int mBadWindows = 3;   ///< In a row, before a step against a task.
  int mGoodWindows = 10; ///< In a row, before a step back.
  Duration mCoolDown = std::chrono::seconds(3); ///< Between two steps.
  Duration mBackOff = std::chrono::seconds(20); ///< After a step back failed.
  Duration mLongestBackOff = std::chrono::minutes(10);
  double mLeastFraction = 0.25; ///< Below it, batch tasks are evicted.
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
  void UsageSeen(const TaskKey& aKey, double aUsed, Instant aTakenAt);

  void LatenciesSeen(const LatencyWindow& aWindow);

  /// The steps to take now.
  std::vector<ColocationAct> Advance(Instant aNow);

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

  void Judge(const LatencyWindow& aWindow);
  void StepAgainst(Instant aNow, std::vector<ColocationAct>& aActs);
  void StepBack(Instant aNow, std::vector<ColocationAct>& aActs);
  void Foresee(Instant aNow, std::vector<ColocationAct>& aActs);
  void Halve(ColocatedTask& aTask, std::vector<ColocationAct>& aActs);
  void SetFraction(ColocatedTask& aTask,
                   double aFraction,
                   std::vector<ColocationAct>& aActs);
  void PunishRaise(const ColocatedTask& aTask, Instant aNow);
  bool MayRaise(const ColocatedTask& aTask, Instant aNow) const;
  bool MayAct(const ColocatedTask& aTask) const;
  bool MayThrottle(const ColocatedTask& aTask) const;
  ColocatedTask* MostHarmful(bool aToThrottle);
  double HarmOf(const ColocatedTask& aTask) const;
  double Patience(double aEvictionWeight) const;
  double Bearable() const;
  void Stepped(Instant aNow);

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
