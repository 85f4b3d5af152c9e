#include "tests/load/ModelWorker.h"

#include <algorithm>
#include <cmath>
#include <numbers>

#include "tests/load/ReplayTime.h"

namespace foxtailbarrow::cell::test {

namespace {

constexpr double kMillicores = 1000.0;
constexpr double kFull = 100.0;

} // namespace

ModelWorker::ModelWorker(const LoadPattern& aPattern,
                         const HiddenWeights& aWeights,
                         int aNumber)
  : mPattern(aPattern)
  , mWeights(&aWeights)
  , mNumber(aNumber)
{
}

void ModelWorker::Crash()
{
  ++mRestarts;
  mTasks.clear();
  mEnded.clear();
  mLastEnd = 0;
  mLatencySum.clear();
}

void ModelWorker::Start(const StartOrder& aOrder,
                        const StepSpec& aSpec,
                        double aWork)
{
  Task task;
  task.mOrder = aOrder;
  task.mStartedAt = mNow;
  task.mDemand = static_cast<double>(aSpec.mDemand.mMillicores) / kMillicores;
  task.mStanding = aSpec.mStanding;
  task.mWork = aWork;
  // A checkpoint is the work that was done, as text.
  task.mWorkDone =
    aOrder.mCheckpoint.empty() ? 0.0 : std::stod(aOrder.mCheckpoint);
  mTasks[aOrder.mTask] = std::move(task);
}

void ModelWorker::Stop(const StopOrder& aOrder)
{
  if (mTasks.contains(aOrder.mTask)) {
    End(aOrder.mTask, RunEnd::Stopped);
  }
}

void ModelWorker::Throttle(const TaskRef& aTask, std::int32_t aPercent)
{
  if (const auto task = mTasks.find(aTask); task != mTasks.end()) {
    task->second.mShare = aPercent / kFull;
  }
}

void ModelWorker::End(const TaskRef& aTask, RunEnd aEnd)
{
  const Task& task = mTasks.at(aTask);
  mEnded.push_back({ ++mLastEnd,
                     aTask,
                     task.mOrder.mRun,
                     aEnd,
                     std::to_string(task.mWorkDone) });
  mTasks.erase(aTask);
}

/// Load of a serving task, between -1 and 1; the tasks of one job swing
/// together.
double ModelWorker::LoadOf(const Task& aTask, double aNow) const
{
  const double phase =
    static_cast<double>(
      std::hash<std::string>()(aTask.mOrder.mTask.mJob.Value()) % 1000) /
    1000.0;
  return std::sin(2 * std::numbers::pi *
                  (aNow / mPattern.mSwingPeriodS + phase));
}

void ModelWorker::Advance(double aSeconds, double aNow)
{
  mNow = aNow;
  double left = static_cast<double>(mPattern.mWorkerMillicores) / kMillicores;
  double wanted = 0;
  for (const auto& [ref, task] : mTasks) {
    if (task.mStanding) {
      left -=
        task.mDemand * mPattern.mStandingLoad * (1 + LoadOf(task, aNow) / 2);
    } else {
      wanted += task.mDemand * task.mShare;
    }
  }
  const double given = wanted <= 0 ? 0.0 : std::clamp(left / wanted, 0.0, 1.0);
  std::vector<TaskRef> done;
  for (auto& [ref, task] : mTasks) {
    if (task.mStanding) {
      continue;
    }
    task.mRate = task.mDemand * task.mShare * given;
    task.mUsed += task.mRate * aSeconds;
    task.mWorkDone += task.mRate * aSeconds;
    if (task.mWorkDone >= task.mWork) {
      done.push_back(ref);
    }
  }
  AdvanceServing(aSeconds, aNow);
  for (const TaskRef& ref : done) {
    End(ref, RunEnd::Done);
  }
  mCovered += aSeconds;
}

void ModelWorker::AdvanceServing(double aSeconds, double aNow)
{
  for (const auto& [ref, task] : mTasks) {
    if (!task.mStanding) {
      continue;
    }
    const double own =
      std::log(mPattern.mBaselineShare) + mPattern.mSwing * LoadOf(task, aNow);
    double interference = 0;
    for (const auto& [other, bestEffort] : mTasks) {
      if (!bestEffort.mStanding) {
        interference +=
          mWeights->at({ task.mOrder.mImage, bestEffort.mOrder.mImage }) *
          bestEffort.mRate;
      }
    }
    double& sum = mLatencySum[task.mOrder.mImage];
    sum = std::max(sum, std::exp(own + interference));
    mServingSeconds += aSeconds;
    mOverTargetSeconds += own <= 0 && own + interference > 0 ? aSeconds : 0.0;
  }
}

void ModelWorker::UpdateMeasurements(std::mt19937& aRandom)
{
  std::normal_distribution<double> noise(0, mPattern.mNoise);
  for (auto& [ref, task] : mTasks) {
    if (task.mStanding) {
      task.mFigure =
        std::lround(mPattern.mTargetMs * mLatencySum[task.mOrder.mImage] *
                    std::exp(noise(aRandom)));
    } else if (mCovered > 0) {
      task.mFigure = std::lround(task.mUsed / mCovered * kMillicores);
    }
    task.mUsed = 0;
  }
  mLatencySum.clear();
  mCovered = 0;
}

WorkerState ModelWorker::State() const
{
  WorkerState state;
  state.mInfo.mIncarnation = WorkerIncarnation(
    "life" + std::to_string(mNumber) + "-" + std::to_string(mRestarts));
  state.mInfo.mService = ServiceId("service");
  state.mInfo.mCapacity = { mPattern.mWorkerMillicores,
                            mPattern.mWorkerMemoryMb,
                            0 };
  for (const auto& [ref, task] : mTasks) {
    RunningTask running;
    running.mTask = ref;
    running.mRun = task.mOrder.mRun;
    running.mFigure = task.mFigure;
    running.mSince = At(task.mStartedAt).time_since_epoch();
    running.mPercent =
      task.mStanding
        ? static_cast<std::int32_t>(kFull)
        : static_cast<std::int32_t>(kFull * task.mWorkDone / task.mWork);
    state.mRunning.push_back(running);
  }
  state.mEnded = mEnded;
  return state;
}

void ModelWorker::Acknowledge(std::int64_t aNumber)
{
  std::erase_if(
    mEnded, [&](const EndedTask& aEnded) { return aEnded.mNumber <= aNumber; });
}

} // namespace foxtailbarrow::cell::test
