#include "standins/taskworker/TaskWorkerModel.h"

#include <algorithm>
#include <utility>

namespace foxtailbarrow::standin {

using cell::RunEnd;
using cell::StartOutcome;

namespace {

/// Non-zero, as worker clocks have an arbitrary origin.
constexpr cell::WorkerTimeMs kFirstClock = 100'000;
constexpr std::int32_t kFullPercent = 100;
/// Reported use of an unthrottled best-effort task.
constexpr std::int64_t kBestEffortMillicores = 2000;

std::chrono::milliseconds ToMs(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration);
}

} // namespace

TaskWorkerModel::TaskWorkerModel(TaskWorkerSettings aSettings,
                                 Instant aCreatedAt,
                                 RunEventSink aSink)
  : mSettings(aSettings)
  , mRandom(aSettings.mSeed)
  , mCreatedAt(aCreatedAt)
  , mSink(std::move(aSink))
{
}

cell::WorkerTimeMs TaskWorkerModel::Clock(Instant aNow) const
{
  const auto uptime = static_cast<double>(ToMs(aNow - mCreatedAt).count());
  return kFirstClock +
         static_cast<cell::WorkerTimeMs>(uptime * mSettings.mClockRate);
}

void TaskWorkerModel::UpdateProgress(Run& aRun, Instant aNow) const
{
  aRun.mDone += (aNow - aRun.mUpdatedAt) * aRun.mPercent / kFullPercent;
  aRun.mUpdatedAt = aNow;
  for (auto throttle = aRun.mPendingThrottles.begin();
       throttle != aRun.mPendingThrottles.end() && throttle->first <= aNow;
       throttle = aRun.mPendingThrottles.erase(throttle)) {
    aRun.mPercent = throttle->second;
  }
  if (const std::int64_t saves = aRun.mDone / mSettings.mSaveEvery;
      saves > aRun.mSaves) {
    aRun.mSaves = saves;
    aRun.mSaved = std::to_string(ToMs(saves * mSettings.mSaveEvery).count());
  }
}

void TaskWorkerModel::End(const cell::TaskRef& aTask, RunEnd aEnd)
{
  const auto run = mRuns.find(aTask);
  mEnded.push_back({ ++mEndCount,
                     aTask,
                     run->second.mNumber,
                     aEnd,
                     aEnd == RunEnd::Done ? "" : run->second.mSaved });
  mHighestEnded[aTask] = std::max(mHighestEnded[aTask], run->second.mNumber);
  mSink({ RunEventKind::Ended, aTask, run->second.mNumber, aEnd, {}, {} });
  mRuns.erase(run);
}

void TaskWorkerModel::UpdateLatency(const cell::TaskRef& aTask,
                                    Run& aRun,
                                    Instant aNow)
{
  if (!aRun.mProgram.mServingImage) {
    return;
  }
  const int image = *aRun.mProgram.mServingImage;
  double interference = 0;
  for (const auto& [task, other] : mRuns) {
    if (other.mProgram.mBestEffortImage) {
      interference +=
        BestEffortInterference(image, *other.mProgram.mBestEffortImage, aNow) *
        other.mPercent / kFullPercent;
    }
  }
  aRun.mMeter.Update(BaselineLatency(image, aNow), interference, aNow, mRandom);
  const auto since = aRun.mMeter.OverSince();
  if (since && aRun.mReportedOverSince != since &&
      aNow - *since >= kMaxTimeOverTarget) {
    aRun.mReportedOverSince = since;
    mSink({ RunEventKind::OverTarget,
            aTask,
            aRun.mNumber,
            RunEnd::Done,
            {},
            *since });
  }
}

void TaskWorkerModel::Advance(Instant aNow)
{
  const bool lapsed = Clock(aNow) >= mLeaseEnd;
  if (lapsed && !std::exchange(mLapsed, true)) {
    mSink({ RunEventKind::LeaseLapsed, {}, 0, RunEnd::LeaseExpired, {}, {} });
  }
  const auto runs = mRuns;
  for (const auto& [task, before] : runs) {
    Run& run = mRuns.at(task);
    UpdateProgress(run, aNow);
    UpdateLatency(task, run, aNow);
    if (lapsed) {
      End(task, RunEnd::LeaseExpired);
    } else if (aNow >= run.mStopAt) {
      End(task, RunEnd::Stopped);
    } else if (!run.mProgram.mRunsUntilStopped && !run.mProgram.mCrashes &&
               run.mDone >= run.mProgram.mWork) {
      End(task, run.mProgram.mFails ? RunEnd::Failed : RunEnd::Done);
    } else if (mFailAll) {
      End(task, RunEnd::Failed);
    }
  }
}

bool TaskWorkerModel::AcceptFence(cell::Fence aFence)
{
  mFence = std::max(mFence, aFence);
  return aFence == mFence;
}

void TaskWorkerModel::ExtendLease(cell::WorkerTimeMs aEnd, Instant aNow)
{
  const cell::WorkerTimeMs latest =
    Clock(aNow) + ToMs(mSettings.mMaxLease).count();
  mLeaseEnd = std::max(mLeaseEnd, std::min(aEnd, latest));
  mLapsed = Clock(aNow) >= mLeaseEnd;
}

StartOutcome TaskWorkerModel::Start(const cell::StartCall& aCall, Instant aNow)
{
  Advance(aNow);
  if (!AcceptFence(aCall.mFence)) {
    return StartOutcome::NotStarted;
  }
  if (aCall.mLeaseEnd <= Clock(aNow)) {
    return StartOutcome::NoLease;
  }
  ExtendLease(aCall.mLeaseEnd, aNow);
  const auto found = mRuns.find(aCall.mTask);
  if (found != mRuns.end() && found->second.mNumber == aCall.mRun) {
    return StartOutcome::Started;
  }
  if (const auto ended = mHighestEnded.find(aCall.mTask);
      ended != mHighestEnded.end() && aCall.mRun <= ended->second) {
    return StartOutcome::StaleRun;
  }
  Run run;
  run.mNumber = aCall.mRun;
  run.mProgram = ParseTaskProgram(aCall.mPayload);
  run.mStartedAt = aNow;
  run.mUpdatedAt = aNow;
  if (!aCall.mCheckpoint.empty()) {
    run.mDone = std::chrono::milliseconds(std::stoll(aCall.mCheckpoint));
    run.mSaved = aCall.mCheckpoint;
    run.mSaves = run.mDone / mSettings.mSaveEvery;
  }
  mSink({ RunEventKind::Started,
          aCall.mTask,
          aCall.mRun,
          RunEnd::Done,
          aCall.mPayload,
          aNow });
  mRuns[aCall.mTask] = std::move(run);
  return StartOutcome::Started;
}

bool TaskWorkerModel::Stop(const cell::StopCall& aCall, Instant aNow)
{
  Advance(aNow);
  if (!AcceptFence(aCall.mFence)) {
    return false;
  }
  const auto found = mRuns.find(aCall.mTask);
  if (found != mRuns.end() && found->second.mNumber == aCall.mRun) {
    found->second.mStopAt =
      std::min(found->second.mStopAt, aNow + mSettings.mStopTime);
  } else {
    mHighestEnded[aCall.mTask] =
      std::max(mHighestEnded[aCall.mTask], aCall.mRun);
  }
  return true;
}

bool TaskWorkerModel::Throttle(const cell::ThrottleCall& aCall, Instant aNow)
{
  Advance(aNow);
  if (!AcceptFence(aCall.mFence)) {
    return false;
  }
  if (const auto found = mRuns.find(aCall.mTask);
      found != mRuns.end() && found->second.mNumber == aCall.mRun) {
    found->second.mPendingThrottles[aNow + mSettings.mThrottleDelay] =
      aCall.mPercent;
    UpdateProgress(found->second, aNow);
  }
  return true;
}

bool TaskWorkerModel::Poll(const cell::PollCall& aCall, Instant aNow)
{
  Advance(aNow);
  if (!AcceptFence(aCall.mFence)) {
    return false;
  }
  if (aCall.mLeaseEnd) {
    ExtendLease(*aCall.mLeaseEnd, aNow);
  }
  std::erase_if(mEnded, [&](const cell::EndedTask& aEnded) {
    if (aEnded.mNumber > aCall.mAcknowledged) {
      return false;
    }
    mSink({ RunEventKind::Acknowledged,
            aEnded.mTask,
            aEnded.mRun,
            aEnded.mEnd,
            {},
            {} });
    return true;
  });
  return true;
}

cell::PollReply TaskWorkerModel::View(Instant aNow) const
{
  cell::PollReply reply;
  reply.mClock = Clock(aNow);
  reply.mEnded = mEnded;
  for (const auto& [task, run] : mRuns) {
    cell::RunningTask running;
    running.mTask = task;
    running.mRun = run.mNumber;
    running.mCheckpoint = run.mSaved;
    running.mPercent =
      run.mProgram.mRunsUntilStopped
        ? kFullPercent
        : static_cast<std::int32_t>(kFullPercent * run.mDone /
                                    std::max(run.mProgram.mWork, Duration(1)));
    running.mFigure = run.mProgram.mServingImage ? run.mMeter.ReportedMs()
                      : run.mProgram.mBestEffortImage
                        ? kBestEffortMillicores * run.mPercent / kFullPercent
                        : 0;
    reply.mRunning.push_back(std::move(running));
  }
  return reply;
}

bool TaskWorkerModel::CrashDue(Instant aNow) const
{
  return std::ranges::any_of(mRuns, [aNow](const auto& aRun) {
    const Run& run = aRun.second;
    return run.mProgram.mCrashes && aNow - run.mStartedAt >= run.mProgram.mWork;
  });
}

void TaskWorkerModel::Crash()
{
  for (const auto& [task, run] : mRuns) {
    mSink(
      { RunEventKind::Lost, task, run.mNumber, RunEnd::LeaseExpired, {}, {} });
  }
  mRuns.clear();
}

} // namespace foxtailbarrow::standin
