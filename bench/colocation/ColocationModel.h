#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "src/core/colocation/ColocationPolicy.h"

/// One worker in virtual time: a service with 8 slots and batch tasks of
/// classes that hurt it differently, by load level. A policy sees what the
/// agent would see: latencies by window and usage that comes late.
namespace foxtailbarrow::bench {

/// What the tasks of a class do to the service's latency, per unit of pressure.
struct TaskClass
{
  std::string mName;
  std::array<double, kLoadLevels> mInterference{};
};

struct Scenario
{
  std::string mName;
  std::function<double(double)>
    mLoad; ///< Part of the slots in use, by seconds.
  std::function<double(double)> mNoisy; ///< Part of arrivals that are noisy.
};

/// The weights of the two deployments.
struct Deployment
{
  std::string mName;
  double mLatencyWeight = 1.0;
  double mEvictionWeight = 1.0;
};

struct Outcome
{
  double mP50Ms = 0.0;
  double mP99Ms = 0.0;
  double mP999Ms = 0.0;
  double mWorkDone = 0.0; ///< Task seconds at full speed.
  double mWorkLost = 0.0; ///< Seconds in which evicted tasks waited.
  int mEvictions = 0;
};

class ColocationModel
{
public:
  ColocationModel(ColocationPolicy aPolicy,
                  Scenario aScenario,
                  Deployment aDeployment,
                  std::uint32_t aSeed)
    : mPolicy(std::move(aPolicy))
    , mScenario(std::move(aScenario))
    , mDeployment(std::move(aDeployment))
    , mRandom(aSeed)
  {
  }

  Outcome Run(int aSeconds)
  {
    for (int second = 0; second < aSeconds; ++second) {
      Place(second);
      Serve(second);
      Work();
      Report(second);
    }
    return Collect();
  }

private:
  struct Task
  {
    TaskKey mKey;
    std::size_t mClass = 0;
    double mLeft = 0.0; ///< Seconds at full speed.
    double mFraction = 1.0;
    int mNotBefore = 0; ///< Second from which an evicted one may resume.
  };

  struct LateUsage
  {
    TaskKey mKey;
    double mUsed = 0.0;
    int mSampledAt = 0;
  };

  static constexpr std::size_t kMaxTasks = 10;
  static constexpr double kTaskSize = 0.05; ///< Part of the processors.
  static constexpr double kTaskSeconds = 90.0;
  static constexpr int kUsageLag = 2;
  static constexpr int kResumeDelay = 10;
  static constexpr int kRequestsAtFull = 400; ///< A second, all slots in use.
  static constexpr double kBaseMs = 15.0;

  static const std::vector<TaskClass>& Classes()
  {
    static const std::vector<TaskClass> sClasses{
      { "report", { 0.0, 0.0, 0.1, 0.2 } },
      { "verify", { 0.1, 0.2, 0.4, 0.8 } },
      { "compact", { 2.0, 6.0, 14.0, 22.0 } }, // noisy at any load
      { "archive", { 0.0, 0.5, 8.0, 20.0 } },  // noisy under load
    };
    return sClasses;
  }

  static Instant At(int aSecond)
  {
    return Instant{ std::chrono::hours(1) } + std::chrono::seconds(aSecond);
  }

  double Uniform() { return std::uniform_real_distribution<>(0, 1)(mRandom); }

  void Place(int aSecond)
  {
    if (!AdmitsTasks(mPolicy)) {
      return;
    }
    while (mTasks.size() < kMaxTasks) {
      const auto ready = std::find_if(
        mEvicted.begin(), mEvicted.end(), [aSecond](const Task& aTask) {
          return aTask.mNotBefore <= aSecond;
        });
      if (ready != mEvicted.end()) {
        mTasks.push_back(*ready);
        mTasks.back().mFraction = 1.0;
        ++mTasks.back().mKey.mEpoch;
        mEvicted.erase(ready);
        continue;
      }
      const bool isNoisy = Uniform() < mScenario.mNoisy(aSecond);
      Task task;
      task.mKey = { JobId("job" + std::to_string(++mJobs)), 1 };
      task.mClass = (isNoisy ? 2 : 0) + (Uniform() < 0.5 ? 1 : 0);
      task.mLeft = kTaskSeconds * (0.5 + Uniform());
      mTasks.push_back(task);
    }
    UpdateTasks(aSecond);
  }

  void UpdateTasks(int aSecond)
  {
    std::vector<ColocatedTask> tasks;
    for (const Task& task : mTasks) {
      ColocatedTask one;
      one.mKey = task.mKey;
      one.mClass = Classes()[task.mClass].mName;
      one.mEvictionWeight = mDeployment.mEvictionWeight;
      one.mReserved = kTaskSize;
      tasks.push_back(one);
    }
    SetTasks(mPolicy, std::move(tasks), At(aSecond));
  }

  void Serve(int aSecond)
  {
    const double load = mScenario.mLoad(aSecond);
    const auto inUse = static_cast<std::int32_t>(std::lround(load * 8));
    const std::size_t level = LoadLevelOf(std::max(1, inUse), 8);
    double excess = 0.0;
    for (const Task& task : mTasks) {
      excess += Classes()[task.mClass].mInterference[level] * kTaskSize *
                task.mFraction;
    }
    std::lognormal_distribution<> noise(0.0, 0.35);
    const double base = kBaseMs * (1.0 + load);
    const int requests = static_cast<int>(kRequestsAtFull * load);
    for (int i = 0; i < requests; ++i) {
      const double ms = base * noise(mRandom) * (1.0 + excess);
      mRecorder.Add(Duration(static_cast<std::int64_t>(ms * 1000)), level);
      mLatencies.push_back(ms);
    }
  }

  void Work()
  {
    for (Task& task : mTasks) {
      const double done = std::min(task.mLeft, task.mFraction);
      task.mLeft -= done;
      mOutcome.mWorkDone += done;
    }
    mOutcome.mWorkLost += static_cast<double>(mEvicted.size());
    std::erase_if(mTasks, [](const Task& aTask) { return aTask.mLeft <= 0; });
  }

  void Report(int aSecond)
  {
    for (const Task& task : mTasks) {
      mUsage.push_back({ task.mKey, kTaskSize * task.mFraction, aSecond });
    }
    while (!mUsage.empty() &&
           mUsage.front().mSampledAt + kUsageLag <= aSecond) {
      const LateUsage& usage = mUsage.front();
      OnUsage(mPolicy, usage.mKey, usage.mUsed, At(usage.mSampledAt));
      mUsage.pop_front();
    }
    OnLatencies(mPolicy, mRecorder.Take(At(aSecond + 1)));
    UpdateTasks(aSecond + 1);
    for (const ColocationAction& act : Advance(mPolicy, At(aSecond + 1))) {
      std::visit([&](const auto& aOne) { Apply(aOne, aSecond); }, act);
    }
  }

  void Apply(const ThrottleBatch& aAct, int)
  {
    for (Task& task : mTasks) {
      if (task.mKey == aAct.mKey) {
        task.mFraction = aAct.mFraction;
      }
    }
  }

  void Apply(const EvictBatch& aAct, int aSecond)
  {
    const auto task =
      std::find_if(mTasks.begin(), mTasks.end(), [&](const Task& aTask) {
        return aTask.mKey == aAct.mKey;
      });
    if (task != mTasks.end()) {
      ++mOutcome.mEvictions;
      mEvicted.push_back(*task);
      mEvicted.back().mNotBefore = aSecond + kResumeDelay;
      mTasks.erase(task);
    }
  }

  Outcome Collect()
  {
    std::sort(mLatencies.begin(), mLatencies.end());
    const auto quantile = [this](double aQuantile) {
      return mLatencies[static_cast<std::size_t>(
        aQuantile * static_cast<double>(mLatencies.size() - 1))];
    };
    mOutcome.mP50Ms = quantile(0.5);
    mOutcome.mP99Ms = quantile(0.99);
    mOutcome.mP999Ms = quantile(0.999);
    return mOutcome;
  }

  ColocationPolicy mPolicy;
  Scenario mScenario;
  Deployment mDeployment;
  std::mt19937 mRandom;
  LatencyRecorder mRecorder;
  std::vector<Task> mTasks;
  std::vector<Task> mEvicted;
  std::deque<LateUsage> mUsage;
  std::vector<double> mLatencies;
  std::uint64_t mJobs = 0;
  Outcome mOutcome;
};

} // namespace foxtailbarrow::bench
