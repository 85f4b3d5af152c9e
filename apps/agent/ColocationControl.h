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

/// The shell around ColocationGuard: collects the service's latencies, judges
/// once a second and hands the guard's steps on.
class ColocationControl
{
public:
  /// What colocation needs to know of the tasks here, and may do to them.
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

  /// Ends its fiber. Not to be called by a thread of the runtime.
  void Stop() { mFibers.Stop(); }

  /// On the path of every request; callable from any thread.
  void OnServed(Duration aHeld, std::int32_t aInUse, std::int32_t aSlots)
  {
    mRecorder.Add(aHeld, LoadLevelOf(aInUse, aSlots));
  }

  /// `aUsed`: part of the worker's processors.
  void OnUsage(const TaskKey& aKey, double aUsed, Instant aTakenAt);

  /// For the state dump.
  Json::Value StateJson() const;

private:
  void Evaluate();
  void Perform(const ThrottleBatch& aAct);
  void Perform(const EvictBatch& aAct);

  const Hooks mHooks;
  LatencyRecorder mRecorder;
  Waker mWaker;
  FiberGroup mFibers;
  mutable std::mutex mMutex; ///< Guards what follows.
  ColocationGuard mGuard;
  std::vector<ColocatedTask> mTasks;
  prometheus::Counter& mThrottles;
  prometheus::Counter& mEvictions;
};

} // namespace foxtailbarrow
