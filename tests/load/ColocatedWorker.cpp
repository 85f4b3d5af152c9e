#include "tests/load/ColocatedWorker.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numbers>
#include <string>

#include "tests/load/ReplayTime.h"

namespace foxtailbarrow::cell::test {

namespace {

constexpr double kLength = 60;
constexpr double kStep = 0.02;
constexpr double kMeasurementSpan = 0.5;
constexpr double kThrottleDelay = 0.1;
constexpr double kLate = 1.0;
constexpr double kThrottleTimeout = 0.25;
constexpr int kThrottleAttempts = 2;
constexpr double kTargetMs = 200;
constexpr double kBaselineShare = 0.47;
constexpr double kSwing = 0.5;
constexpr double kCores = 6;
constexpr double kHeavyPerCore = 0.07;
constexpr double kLightPerCore = 0.01;
constexpr double kHeavyShare = 0.25;
constexpr int kImages = 8;
constexpr double kMillicores = 1000;
constexpr double kFull = 100;

/// Fence of a call that the worker has answered: no later fence cancels it.
constexpr Fence kAccepted = std::numeric_limits<Fence>::max();

const TaskRef kServing{ JobId("serving"), 0, 0, 0 };

std::string ImageOf(double aPerCore)
{
  return aPerCore == kHeavyPerCore ? "heavy" : "light";
}

} // namespace

ColocatedWorker::ColocatedWorker(const ColocatedWorkerPattern& aPattern,
                                 std::uint32_t aSeed)
  : mPattern(aPattern)
  , mRandom(aSeed)
{
  mPeriod = std::uniform_real_distribution<double>(10, 14)(mRandom);
  mPhase = std::uniform_real_distribution<double>(0, 1)(mRandom);
  mController.SetMetadata({ kServing,
                            std::chrono::milliseconds(std::lround(kTargetMs)),
                            false,
                            "serving",
                            {} });
  const InterferenceWeight weights[] = {
    { "serving", "heavy", kHeavyPerCore }, { "serving", "light", kLightPerCore }
  };
  mController.SetInterferenceWeights(weights);
  const int tasks = std::uniform_int_distribution<int>(1, kImages)(mRandom);
  for (int number = 0; number < tasks; ++number) {
    AddTask();
  }
}

bool ColocatedWorker::Chance(double aShare)
{
  return std::bernoulli_distribution(aShare)(mRandom);
}

ColocatedWorker::BestEffortTask ColocatedWorker::NewTask()
{
  BestEffortTask task;
  task.mTask = { JobId("leftover"), 0, 0, ++mNumber };
  task.mPerCore = Chance(kHeavyShare) ? kHeavyPerCore : kLightPerCore;
  task.mEndsAt =
    mPattern.mTaskLength > 0
      ? std::exponential_distribution<double>(1 / mPattern.mTaskLength)(mRandom)
      : 2 * kLength;
  return task;
}

void ColocatedWorker::AddTask()
{
  mTasks.push_back(NewTask());
  mController.OnStart(
    { mTasks.back().mTask, {}, true, ImageOf(mTasks.back().mPerCore), {} }, 1);
}

double ColocatedWorker::OwnLoad(double aNow) const
{
  return std::log(kBaselineShare) +
         kSwing * std::sin(2 * std::numbers::pi * (aNow / mPeriod + mPhase));
}

double ColocatedWorker::CurrentInterference() const
{
  double interference = 0;
  for (const BestEffortTask& task : mTasks) {
    interference += task.mPerCore * kCores * task.mThrottle;
  }
  return interference;
}

void ColocatedWorker::Advance(double aNow)
{
  double throttle = 0;
  for (BestEffortTask& task : mTasks) {
    std::erase_if(task.mPending, [&](const LateThrottle& aThrottle) {
      if (aThrottle.mAt > aNow) {
        return false;
      }
      if (aThrottle.mFence >= mWorkerFence) {
        task.mThrottle = aThrottle.mPercent / kFull;
      }
      return true;
    });
    task.mWorked += task.mThrottle * kStep;
    throttle += task.mThrottle;
  }
  mOutcome.mWork +=
    throttle / static_cast<double>(mTasks.size()) * kStep / kLength;
  const std::size_t before = mTasks.size();
  std::erase_if(mTasks, [](const BestEffortTask& aTask) {
    return aTask.mWorked >= aTask.mEndsAt;
  });
  while (mTasks.size() < before) {
    AddTask();
    if (const auto change =
          mController.ThrottleForStart(mTasks.back().mTask, 1, At(aNow))) {
      SendThrottles(*change, aNow);
    }
  }
  const double own = OwnLoad(aNow);
  const double latency = own + CurrentInterference();
  mLatencySum += latency;
  ++mLatencySteps;
  if (own <= 0 && latency > 0) {
    mOverSince = mOverSince < 0 ? aNow - kStep : mOverSince;
    mOutcome.mOver += kStep;
    mOutcome.mLongestOverTarget =
      std::max(mOutcome.mLongestOverTarget, aNow - mOverSince);
  } else {
    mOverSince = -1;
  }
}

void ColocatedWorker::UpdateMeasurement()
{
  const double noise =
    std::normal_distribution<double>(0, mPattern.mNoise)(mRandom);
  mMeasurement =
    std::lround(kTargetMs * std::exp(mLatencySum / mLatencySteps + noise));
  mLatencySum = 0;
  mLatencySteps = 0;
}

bool ColocatedWorker::SendThrottle(const ThrottleChange& aChange, double aNow)
{
  const auto task =
    std::ranges::find(mTasks, aChange.mTask, &BestEffortTask::mTask);
  if (Chance(mPattern.mLateThrottles)) {
    const double delay = std::uniform_real_distribution<double>(2, 12)(mRandom);
    task->mPending.push_back({ aNow + delay, mAgentFence, aChange.mPercent });
    mController.OnUnanswered(aChange);
    ++mAgentFence;
    return false;
  }
  mWorkerFence = mAgentFence;
  task->mPending.push_back(
    { aNow + kThrottleDelay, kAccepted, aChange.mPercent });
  mController.OnThrottled(aChange);
  return true;
}

/// Retries once if there is no answer. Returns the time when it is done.
double ColocatedWorker::SendThrottles(const ThrottleChange& aChange,
                                      double aNow)
{
  double now = aNow;
  for (int attempt = 0;
       attempt < kThrottleAttempts && !SendThrottle(aChange, now);
       ++attempt) {
    now += kThrottleTimeout;
  }
  return now;
}

double ColocatedWorker::Poll(double aNow)
{
  mWorkerFence = mAgentFence;
  std::vector<RunningTask> running;
  RunningTask& serving = running.emplace_back();
  serving.mTask = kServing;
  serving.mRun = 1;
  serving.mPercent = static_cast<std::int32_t>(kFull);
  serving.mFigure = mMeasurement;
  for (const BestEffortTask& task : mTasks) {
    RunningTask& bestEffort = running.emplace_back();
    bestEffort.mTask = task.mTask;
    bestEffort.mRun = 1;
    bestEffort.mFigure = std::lround(kCores * kMillicores * task.mThrottle);
  }
  double done = aNow;
  const std::vector<ThrottleChange> changes =
    mController.Update(running, At(aNow));
  for (const bool raises : { false, true }) {
    const double sentAt = done;
    for (const ThrottleChange& change : changes) {
      if (change.mRaises == raises) {
        done = std::max(done, SendThrottles(change, sentAt));
      }
    }
  }
  return done;
}

ColocatedWorkerOutcome ColocatedWorker::Play()
{
  double nextPoll = mPattern.mPollInterval;
  double nextMeasurement = kMeasurementSpan;
  for (double now = kStep; now < kLength; now += kStep) {
    Advance(now);
    if (now >= nextMeasurement) {
      UpdateMeasurement();
      nextMeasurement += kMeasurementSpan;
    }
    if (now >= nextPoll && mMeasurement > 0) {
      nextPoll = Poll(now) + mPattern.mPollInterval +
                 (Chance(mPattern.mLatePolls) ? kLate : 0);
    }
  }
  return mOutcome;
}

} // namespace foxtailbarrow::cell::test
