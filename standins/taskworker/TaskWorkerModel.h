#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "src/core/cell/TaskWorker.h"
#include "standins/taskworker/ServingMeter.h"
#include "standins/taskworker/TaskProgram.h"

namespace foxtailbarrow::standin {

struct TaskWorkerSettings
{
  Resources mCapacity{ 16'000, 64'000, 0 };
  Duration mMaxLease = std::chrono::milliseconds(6000);
  Duration mStopTime = std::chrono::milliseconds(150);
  Duration mSaveEvery = std::chrono::milliseconds(200);
  Duration mThrottleDelay{}; ///< Until a pace works.
  unsigned mSeed = 1;        ///< Of the roughness of figures.
  double mClockRate = 1.0;   ///< Of the worker's clock against true time.
};

/// The longest time that a serving task may be over its target on end by what
/// runs beside it.
inline constexpr Duration kMaxTimeOverTarget = std::chrono::milliseconds(4000);

enum class RunEventKind : std::uint8_t
{
  Started,
  Ended,
  Lost,         ///< With its worker.
  Acknowledged, ///< Its end was taken note of.
  LeaseLapsed,  ///< The worker's; of no run.
  OverTarget,   ///< For kMaxTimeOverTarget, by what runs beside it.
};

struct RunEvent
{
  RunEventKind mKind = RunEventKind::Started;
  cell::TaskRef mTask;
  cell::RunNumber mRun = 0;
  cell::RunEnd mEnd = cell::RunEnd::Done;
  std::string mPayload; ///< Of a start.
  /// Of a start; since when, of a task over its target.
  Instant mAt{};
  bool mLate = false; ///< A start that was held up in the worker.
};

/// One life of a worker that pretends to run its tasks: leases, fences, run
/// numbers, checkpoints and ends as the users' platform promises them. Pure:
/// the time is passed in, and every call first brings everything up to it.
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
  /// False for a fence that is too low; nothing was done then.
  bool Stop(const cell::StopCall& aCall, Instant aNow);
  bool Throttle(const cell::ThrottleCall& aCall, Instant aNow);
  bool Poll(const cell::PollCall& aCall, Instant aNow);
  cell::PollReply View(Instant aNow) const;
  std::int64_t NewestEnd() const { return mEnds; }

  /// A task that takes its worker down has run for long enough.
  bool CrashDue(Instant aNow) const;
  /// It crashes: what runs is lost.
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
    std::map<Instant, std::int32_t>
      mPendingThrottles; ///< That do not work yet.
    ServingMeter mMeter;
    std::optional<Instant> mReportedOverSince; ///< The stretch that was marked.
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
  bool mLapsed = true; ///< No lease is in force.
  std::map<cell::TaskRef, Run> mRuns;
  std::map<cell::TaskRef, cell::RunNumber>
    mHighestEnded; ///< Highest that ended.
  std::vector<cell::EndedTask> mEnded;
  std::int64_t mEnds = 0;
};

} // namespace foxtailbarrow::standin
