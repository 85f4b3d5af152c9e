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
/// classes whose interference with the service depends on its load level. A
/// policy receives what the agent would: latencies per window and delayed
/// usage.
namespace foxtailbarrow::bench {

/// Relative latency increase that the tasks of a class cause per unit of their
/// processor share, by load level.
struct TaskClass
{
  std::string mName;
  std::array<double, kLoadLevels> mInterference{};
};

struct Scenario
{
  std::string mName;
  std::function<double(double)> mLoad;  ///< Share of slots in use, by second.
  std::function<double(double)> mNoisy; ///< Share of noisy arrivals.
};

/// Weights of one deployment.
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
  double mWorkLost = 0.0; ///< Seconds that evicted tasks waited.
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
      RunTasks();
      Report(second);
    }
    return Collect();
  }

private:
  struct Task
  {
    TaskKey mKey;
    std::size_t mClass = 0;
    double mRemaining = 0.0; ///< Seconds at full speed.
    double mFraction = 1.0;
    int mNotBefore = 0; ///< Second at which an evicted task may resume.
  };

  struct DelayedUsage
  {
    TaskKey mKey;
    double mUsed = 0.0;
    int mSampledAt = 0;
  };

  static constexpr std::size_t kMaxTasks = 10;
  static constexpr double kTaskSize = 0.05; ///< Share of the processors.
  static constexpr double kTaskSeconds = 90.0;
  static constexpr int kUsageLag = 2;
  static constexpr int kResumeDelay = 10;
  static constexpr int kRequestsAtFull = 400; ///< Per second at full load.
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
      task.mRemaining = kTaskSeconds * (0.5 + Uniform());
      mTasks.push_back(task);
    }
    UpdateTasks(aSecond);
  }

  void UpdateTasks(int aSecond)
  {
    std::vector<ColocatedTask> tasks;
    for (const Task& task : mTasks) {
      ColocatedTask colocated;
      colocated.mKey = task.mKey;
      colocated.mClass = Classes()[task.mClass].mName;
      colocated.mEvictionWeight = mDeployment.mEvictionWeight;
      colocated.mReserved = kTaskSize;
      tasks.push_back(colocated);
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

  void RunTasks()
  {
    for (Task& task : mTasks) {
      const double done = std::min(task.mRemaining, task.mFraction);
      task.mRemaining -= done;
      mOutcome.mWorkDone += done;
    }
    mOutcome.mWorkLost += static_cast<double>(mEvicted.size());
    std::erase_if(mTasks,
                  [](const Task& aTask) { return aTask.mRemaining <= 0; });
  }

  void Report(int aSecond)
  {
    for (const Task& task : mTasks) {
      mUsage.push_back({ task.mKey, kTaskSize * task.mFraction, aSecond });
    }
    while (!mUsage.empty() &&
           mUsage.front().mSampledAt + kUsageLag <= aSecond) {
      const DelayedUsage& usage = mUsage.front();
      OnUsage(mPolicy, usage.mKey, usage.mUsed, At(usage.mSampledAt));
      mUsage.pop_front();
    }
    OnLatencies(mPolicy, mRecorder.Take(At(aSecond + 1)));
    UpdateTasks(aSecond + 1);
    for (const ColocationAction& act : Advance(mPolicy, At(aSecond + 1))) {
      std::visit([&](const auto& aAct) { Apply(aAct, aSecond); }, act);
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
  std::deque<DelayedUsage> mUsage;
  std::vector<double> mLatencies;
  std::uint64_t mJobs = 0;
  Outcome mOutcome;
};

} // namespace foxtailbarrow::bench
