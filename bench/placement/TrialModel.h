#pragma once

#include <algorithm>
#include <chrono>
#include <map>
#include <random>
#include <vector>

#include "src/core/job/JobScheduler.h"

/// Parts of a trial of placement policies: variants, scenarios, and the actual
/// state of workers and jobs.
namespace foxtailbarrow::bench {

using namespace std::chrono_literals;
using Random = std::mt19937_64;
inline constexpr int kWorkers = 11;
inline constexpr Duration kStep = 100ms;
inline constexpr Duration kLength = 30min;
inline constexpr Resources kCapacity{ 64'000, 250'000, 0 };

struct Variant
{
  const char* mName;
  PlacementPolicy mPolicy;
  bool mLearnSizes;
  bool mPreempt;
};

struct Scenario
{
  const char* mName;
  double mNetworkMs; ///< One way.
  bool mSizesWrong;  ///< Declared sizes are up to ten times too large or small.
  bool mNoisyWave;   ///< Four workers temporarily lose a third of their memory.
  bool mRackFails;
};

struct Outcome
{
  double mFinishedCoreHours = 0;
  double mEvictions = 0;
  double mWastedCoreHours = 0;
  double mUrgentP99 = 0;  ///< Seconds from submission to start.
  double mUrgentLate = 0; ///< Share not started within 7.1 s.
};

/// The actual requirements of a job, which the scheduler does not know.
struct ActualJob
{
  Resources mSize;
  Duration mWork{};
  Duration mDone{}; ///< As of the last checkpoint.
  bool mUrgent = false;
  Instant mSubmitted{};
  bool mStarted = false;
};

struct ModelTask
{
  TaskStatus mStatus;
  Duration mDone{};
  Duration mFrom{};
};

struct ModelWorker
{
  std::map<TaskKey, ModelTask> mTasks;
  Resources mLost; ///< Taken by noisy neighbors.
  Instant mDownUntil{};
  Incarnation mIncarnation = 1;
  std::uint64_t mSequence = 0;

  Resources Reserved() const
  {
    Resources sum = mLost;
    for (const auto& [key, task] : mTasks) {
      if (task.mStatus.mState == TaskState::Running) {
        sum += task.mStatus.mReserved;
      }
    }
    return sum;
  }
};

} // namespace foxtailbarrow::bench
