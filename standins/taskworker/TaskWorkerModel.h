#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "src/core/cell/workers/TaskWorker.h"
#include "standins/taskworker/ServingMeter.h"
#include "standins/taskworker/TaskProgram.h"

namespace foxtailbarrow::standin {

struct TaskWorkerSettings
{
  Resources mCapacity{ 16'000, 64'000, 0 };
  Duration mMaxLease = std::chrono::milliseconds(6000);
  Duration mStopTime = std::chrono::milliseconds(150);
  Duration mSaveEvery = std::chrono::milliseconds(200);
  Duration mThrottleDelay{}; ///< Until a throttle takes effect.
  unsigned mSeed = 1;        ///< Of the noise in measurements.
  double mClockRate = 1.0;   ///< Worker clock relative to real time.
};

/// The longest continuous time for which interference may keep a serving task
/// over its target.
inline constexpr Duration kMaxTimeOverTarget = std::chrono::milliseconds(4000);

enum class RunEventKind : std::uint8_t
{
  Started,
  Ended,
  Lost,         ///< The worker crashed.
  Acknowledged, ///< The agent acknowledged the end.
  LeaseLapsed,  ///< The worker's lease; refers to no run.
  OverTarget,   ///< By interference, for kMaxTimeOverTarget.
};

struct RunEvent
{
  RunEventKind mKind = RunEventKind::Started;
  cell::TaskRef mTask;
  cell::RunNumber mRun = 0;
  cell::RunEnd mEnd = cell::RunEnd::Done;
  std::string mPayload; ///< Of Started.
  /// Time of Started; for OverTarget, since when.
  Instant mAt{};
  bool mLate = false; ///< Started late by an injected fault.
};

/// One incarnation of a worker that simulates its tasks, with the leases,
/// fences, run numbers, checkpoints and ends that the users' platform
/// guarantees. The time is passed in; each call first advances the model to it.
class TaskWorkerModel
{
public:
  using RunEventSink = std::function<void(const RunEvent&)>;

  TaskWorkerModel(TaskWorkerSettings aSettings,
                  Instant aCreatedAt,
                  RunEventSink aSink);

  void FailAll(bool aFailAll) { mFailAll = aFailAll; }

  void Advance(Instant aNow);
  cell::WorkerTimeMs Clock(Instant aNow) const;

  cell::StartOutcome Start(const cell::StartCall& aCall, Instant aNow);
  /// False, without any effect, for a fence that is too low.
  bool Stop(const cell::StopCall& aCall, Instant aNow);
  bool Throttle(const cell::ThrottleCall& aCall, Instant aNow);
  bool Poll(const cell::PollCall& aCall, Instant aNow);
  cell::PollReply View(Instant aNow) const;
  std::int64_t NewestEnd() const { return mEndCount; }

  /// True when a task that crashes its worker has run long enough to do so.
  bool CrashDue(Instant aNow) const;
  /// Crashes the worker: all runs are lost.
  void Crash();

private:
  struct Run
  {
    cell::RunNumber mNumber = 0;
    TaskProgram mProgram;
    Duration mDone{};
    Instant mStartedAt{};
    Instant mUpdatedAt{};
    std::int32_t mPercent = 100;
    std::map<Instant, std::int32_t> mPendingThrottles; ///< Not yet in effect.
    ServingMeter mMeter;
    std::optional<Instant> mReportedOverSince; ///< Already reported.
    std::string mSaved;
    std::int64_t mSaves = 0;
    Instant mStopAt = Instant::max();
  };

  bool AcceptFence(cell::Fence aFence);
  void ExtendLease(cell::WorkerTimeMs aEnd, Instant aNow);
  void UpdateProgress(Run& aRun, Instant aNow) const;
  void UpdateLatency(const cell::TaskRef& aTask, Run& aRun, Instant aNow);
  void End(const cell::TaskRef& aTask, cell::RunEnd aEnd);

  TaskWorkerSettings mSettings;
  std::mt19937 mRandom;
  Instant mCreatedAt;
  RunEventSink mSink;
  bool mFailAll = false;
  cell::Fence mFence = 0;
  cell::WorkerTimeMs mLeaseEnd = 0;
  bool mLapsed = true; ///< No lease is in effect.
  std::map<cell::TaskRef, Run> mRuns;
  std::map<cell::TaskRef, cell::RunNumber>
    mHighestEnded; ///< Highest run number.
  std::vector<cell::EndedTask> mEnded;
  std::int64_t mEndCount = 0;
};

} // namespace foxtailbarrow::standin
