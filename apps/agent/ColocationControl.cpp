#include "apps/agent/ColocationControl.h"

#include <utility>
#include <variant>

#include "src/telemetry/Log.h"

namespace foxtailbarrow {

namespace {

constexpr Duration kWindow = std::chrono::seconds(1);

} // namespace

ColocationControl::ColocationControl(net::FiberRuntime& aRuntime,
                                     Metrics& aMetrics,
                                     Hooks aHooks)
  : mHooks(std::move(aHooks))
  , mFibers(aRuntime)
  , mThrottles(aMetrics.Counter("agent_colocation_throttles_total",
                                "Changes of a task's processor limit"))
  , mEvictions(aMetrics.Counter("agent_colocation_evictions_total",
                                "Tasks evicted for the service's latency"))
{
  aMetrics.SampledGauge("agent_colocation_excess",
                        "Service tail latency over its baseline, minus 1",
                        [this] {
                          const std::lock_guard lock(mMutex);
                          return mGuard.Excess();
                        });
}

void ColocationControl::Start()
{
  mFibers.Repeat(mWaker, kWindow, [this] { Evaluate(); });
}

void ColocationControl::OnUsage(const TaskKey& aKey,
                                double aUsed,
                                Instant aTakenAt)
{
  const std::lock_guard lock(mMutex);
  mGuard.OnUsage(aKey, aUsed, aTakenAt);
}

void ColocationControl::Evaluate()
{
  std::vector<ColocatedTask> tasks = mHooks.mTasks();
  const double weight = mHooks.mLatencyWeight();
  std::vector<ColocationAction> actions;
  {
    const std::lock_guard lock(mMutex);
    const Instant now = MonotonicNow();
    mTasks = tasks;
    mGuard.SetLatencyWeight(weight);
    mGuard.SetTasks(std::move(tasks), now);
    mGuard.OnLatencies(mRecorder.Take(now));
    actions = mGuard.Advance(now);
  }
  for (const ColocationAction& action : actions) {
    std::visit([this](const auto& aTyped) { Perform(aTyped); }, action);
  }
}

void ColocationControl::Perform(const ThrottleBatch& aAction)
{
  mThrottles.Increment();
  LogChange("task-throttled",
            { { "job", aAction.mKey.mJob },
              { "epoch", aAction.mKey.mEpoch },
              { "fraction", aAction.mFraction } });
  mHooks.mThrottle(aAction.mKey, aAction.mFraction);
}

void ColocationControl::Perform(const EvictBatch& aAction)
{
  mEvictions.Increment();
  LogChange("task-evicted-for-latency",
            { { "job", aAction.mKey.mJob }, { "epoch", aAction.mKey.mEpoch } });
  mHooks.mEvict(aAction.mKey, Reason::EvictedForLatency);
}

Json::Value ColocationControl::StateJson() const
{
  const std::lock_guard lock(mMutex);
  Json::Value object(Json::objectValue);
  object["excess"] = mGuard.Excess();
  object["fractions"] = Json::Value(Json::objectValue);
  for (const ColocatedTask& task : mTasks) {
    object["fractions"][task.mKey.mJob.Value()] = mGuard.FractionOf(task.mKey);
  }
  return object;
}

} // namespace foxtailbarrow
