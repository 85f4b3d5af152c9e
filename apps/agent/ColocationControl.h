#pragma once

#include <functional>
#include <mutex>
#include <vector>

#include <json/value.h>

#include "foxtailbarrow/Reason.h"
#include "src/core/colocation/ColocationGuard.h"
#include "src/core/colocation/LatencyRecorder.h"
#include "src/net/FiberGroup.h"
#include "src/net/Waker.h"
#include "src/telemetry/Metrics.h"

namespace foxtailbarrow {

/// Runs ColocationGuard: collects the service's latencies, evaluates them once
/// a second and executes the guard's actions.
class ColocationControl
{
public:
  /// Access to the worker's tasks and the service's contracts.
  struct Hooks
  {
    std::function<std::vector<ColocatedTask>()> mTasks;
    std::function<double()> mLatencyWeight;
    std::function<void(const TaskKey&, double)> mThrottle;
    std::function<void(const TaskKey&, Reason)> mEvict;
  };

  ColocationControl(net::FiberRuntime& aRuntime,
                    Metrics& aMetrics,
                    Hooks aHooks);

  void Start();

  /// Ends its fiber. Must not be called on a thread of the runtime.
  void Stop() { mFibers.Stop(); }

  /// Called after every request, from any thread.
  void OnServed(Duration aHeld, std::int32_t aInUse, std::int32_t aSlots)
  {
    mRecorder.Add(aHeld, LoadLevelOf(aInUse, aSlots));
  }

  /// `aUsed`: fraction of the worker's processors.
  void OnUsage(const TaskKey& aKey, double aUsed, Instant aTakenAt);

  /// For the state dump.
  Json::Value StateJson() const;

private:
  void Evaluate();
  void Perform(const ThrottleBatch& aAction);
  void Perform(const EvictBatch& aAction);

  const Hooks mHooks;
  LatencyRecorder mRecorder;
  Waker mWaker;
  FiberGroup mFibers;
  mutable std::mutex mMutex; ///< Guards the members below.
  ColocationGuard mGuard;
  std::vector<ColocatedTask> mTasks;
  prometheus::Counter& mThrottles;
  prometheus::Counter& mEvictions;
};

} // namespace foxtailbarrow
