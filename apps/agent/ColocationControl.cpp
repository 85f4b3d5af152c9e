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
                        "Service tail over its calm one, minus 1",
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
  std::vector<ColocationAction> acts;
  {
    const std::lock_guard lock(mMutex);
    const Instant now = MonotonicNow();
    mTasks = tasks;
    mGuard.SetLatencyWeight(weight);
    mGuard.SetTasks(std::move(tasks), now);
    mGuard.OnLatencies(mRecorder.Take(now));
    acts = mGuard.Advance(now);
  }
  for (const ColocationAction& act : acts) {
    std::visit([this](const auto& aOne) { Perform(aOne); }, act);
  }
}

void ColocationControl::Perform(const ThrottleBatch& aAct)
{
  mThrottles.Increment();
  LogChange("task-throttled",
            { { "job", aAct.mKey.mJob },
              { "epoch", aAct.mKey.mEpoch },
              { "fraction", aAct.mFraction } });
  mHooks.mThrottle(aAct.mKey, aAct.mFraction);
}

void ColocationControl::Perform(const EvictBatch& aAct)
{
  mEvictions.Increment();
  LogChange("task-evicted-for-latency",
            { { "job", aAct.mKey.mJob }, { "epoch", aAct.mKey.mEpoch } });
  mHooks.mEvict(aAct.mKey, Reason::EvictedForLatency);
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
