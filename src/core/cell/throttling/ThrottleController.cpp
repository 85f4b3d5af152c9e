#include "src/core/cell/throttling/ThrottleController.h"

#include <algorithm>
#include <cmath>

#include "absl/strings/str_cat.h"

namespace foxtailbarrow::cell {

namespace {

constexpr std::int32_t kFull = 100;
constexpr double kFullShare = 100.0;
constexpr double kMillicores = 1000.0;
/// Cores that a stopped task is assumed to use at full speed.
constexpr double kUnknownCores = 6.0;
/// Part of the headroom that one round of raises may use, since measurements
/// lag.
constexpr double kRaiseShare = 0.6;
/// Steps below this are not worth a call.
constexpr std::int32_t kSmallestStep = 5;

double ShareOfTarget(const TaskMetadata& aMetadata, std::int64_t aLatencyMs)
{
  return static_cast<double>(aLatencyMs) /
         std::chrono::duration<double, std::milli>(aMetadata.mLatencyTarget)
           .count();
}

} // namespace

ThrottleController::ThrottleController(ThrottleSettings aSettings)
  : mSettings(aSettings)
{
}

void ThrottleController::SetMetadata(const TaskMetadata& aMetadata)
{
  mMetadata.Set(aMetadata);
}

void ThrottleController::OnStart(const TaskMetadata& aMetadata, RunNumber aRun)
{
  mMetadata.OnStart(aMetadata, aRun);
}

void ThrottleController::SetInterferenceWeights(
  std::span<const InterferenceWeight> aWeights)
{
  for (const InterferenceWeight& weight : aWeights) {
    mPerCore[{ weight.mServing, weight.mBestEffort }] = weight.mPerCore;
  }
}

double ThrottleController::PerCore(const std::string& aServing,
                                   const std::string& aImage) const
{
  const auto found = mPerCore.find({ aServing, aImage });
  return found == mPerCore.end() ? InterferenceSettings().mPriorPerCore
                                 : found->second;
}

void ThrottleController::UpdateServing(const std::string& aImage,
                                       double aShare,
                                       Instant aNow)
{
  const double latency = std::log(aShare);
  Serving& serving = mServing[aImage];
  serving.mLatency = serving.mLatency != 0
                       ? mSettings.mNewestWeight * latency +
                           (1 - mSettings.mNewestWeight) * serving.mLatency
                       : latency;
  serving.mTimer.Update(aShare, mSettings.mOverTarget, aNow);
}

void ThrottleController::UpdateBestEffort(
  const TaskMetadataTable::Entry& aEntry,
  const RunningTask& aRunning)
{
  BestEffortTask& bestEffort = mBestEffort[aRunning.mTask];
  if (bestEffort.mRun != aRunning.mRun) {
    bestEffort = {};
    bestEffort.mRun = aRunning.mRun;
    if (aEntry.mStarted != aRunning.mRun) {
      // An earlier agent may have throttled it.
      bestEffort.mInForce.reset();
      bestEffort.mWanted = aRunning.mFigure > 0 ? kFull : 0;
    }
  }
  bestEffort.mCores = static_cast<double>(aRunning.mFigure) / kMillicores;
  bestEffort.mObserved = true;
}

void ThrottleController::OnPoll(std::span<const RunningTask> aRunning,
                                Instant aNow)
{
  for (auto& [image, serving] : mServing) {
    serving.mObserved = false;
  }
  for (auto& [task, bestEffort] : mBestEffort) {
    bestEffort.mObserved = false;
  }
  mMetadata.BeginPoll();
  std::map<std::string, double> worst; ///< Share of the target, by image.
  mUnknownTasks = 0;
  for (const RunningTask& running : aRunning) {
    const TaskMetadataTable::Entry* known = mMetadata.OnObserved(running.mTask);
    if (known == nullptr) {
      ++mUnknownTasks;
      continue;
    }
    const TaskMetadata& metadata = known->mMetadata;
    if (metadata.mLatencyTarget > Duration::zero()) {
      // A poll without a measurement does not end its time over the target.
      if (const auto image = mServing.find(metadata.mImage);
          image != mServing.end()) {
        image->second.mObserved = true;
      }
      // Its measurement is meaningless while it starts up.
      if (running.mFigure > 0 && running.mPercent == kFull) {
        double& share = worst[metadata.mImage];
        share = std::max(share, ShareOfTarget(metadata, running.mFigure));
      }
    }
    if (metadata.mBestEffort) {
      UpdateBestEffort(*known, running);
    }
  }
  for (const auto& [image, share] : worst) {
    UpdateServing(image, share, aNow);
    mServing.at(image).mObserved = true;
  }
  mMetadata.EndPoll();
  std::erase_if(mServing,
                [](const auto& aEntry) { return !aEntry.second.mObserved; });
  std::erase_if(mBestEffort,
                [](const auto& aEntry) { return !aEntry.second.mObserved; });
}

double ThrottleController::InterferenceOf(
  const std::string& aServing,
  const TaskRef& aTask,
  const BestEffortTask& aBestEffort) const
{
  // At full speed; a throttled task uses less than it would.
  const double cores =
    aBestEffort.mInForce >= kSmallestStep && aBestEffort.mCores > 0
      ? std::min(kUnknownCores * 2,
                 aBestEffort.mCores * kFullShare / *aBestEffort.mInForce)
      : kUnknownCores;
  return PerCore(aServing, mMetadata.ImageOf(aTask)) * cores;
}

/// Throttles the tasks that interfere most, until the interference is expected
/// to fall by `aExcess`.
void ThrottleController::Lower(const std::string& aServing, double aExcess)
{
  std::vector<std::pair<double, TaskRef>> interfering;
  for (const auto& [task, bestEffort] : mBestEffort) {
    const double interference = InterferenceOf(aServing, task, bestEffort);
    if (interference > 0 && bestEffort.mWanted > 0) {
      interfering.emplace_back(interference, task);
    }
  }
  std::ranges::sort(interfering, std::greater());
  for (const auto& [interference, task] : interfering) {
    if (aExcess <= 0) {
      return;
    }
    BestEffortTask& bestEffort = mBestEffort.at(task);
    const double now = interference * bestEffort.mWanted / kFullShare;
    const double reduction = std::min(now, aExcess);
    aExcess -= reduction;
    bestEffort.mWanted = static_cast<std::int32_t>(
      std::floor(kFullShare * (now - reduction) / interference));
    bestEffort.mCause = Cause(ThrottleReason::Interferes, aServing, task);
  }
}

void ThrottleController::Stop(const std::string& aServing,
                              ThrottleReason aReason)
{
  const double minWeight =
    aReason == ThrottleReason::TooLongOver ? 0.0 : mSettings.mHarmlessWeight;
  for (auto& [task, bestEffort] : mBestEffort) {
    const ThrottleCause cause = Cause(aReason, aServing, task);
    if (cause.mPerCore >= minWeight && bestEffort.mWanted > 0) {
      bestEffort.mWanted = 0;
      bestEffort.mCause = cause;
    }
  }
}

ThrottleCause ThrottleController::Cause(ThrottleReason aReason,
                                        const std::string& aServing,
                                        const TaskRef& aTask) const
{
  return { .mReason = aReason,
           .mServing = aServing,
           .mLatencyShare = std::exp(mServing.at(aServing).mLatency),
           .mPerCore = PerCore(aServing, mMetadata.ImageOf(aTask)) };
}

/// Interference that the colocated serving tasks can still absorb, as a share
/// of what this task causes at full speed.
double ThrottleController::HeadroomFor(const TaskRef& aTask, Instant aNow) const
{
  double headroom = 1.0;
  for (const auto& [image, serving] : mServing) {
    if (TimeOver(serving, aNow) > mSettings.mStopAllAfter) {
      return 0;
    }
    const double interference =
      InterferenceOf(image, aTask, mBestEffort.at(aTask));
    if (PerCore(image, mMetadata.ImageOf(aTask)) < mSettings.mHarmlessWeight) {
      continue;
    }
    if (aNow - serving.mLoweredAt < mSettings.mStepInterval) {
      return 0;
    }
    const double left = std::log(mSettings.mAimedShare) - serving.mLatency;
    headroom = std::min(headroom, kRaiseShare * left / interference);
  }
  return std::max(0.0, headroom);
}

void ThrottleController::Raise(Instant aNow)
{
  for (auto& [task, bestEffort] : mBestEffort) {
    if (bestEffort.mWanted == kFull ||
        aNow - bestEffort.mRaisedAt < mSettings.mStepInterval) {
      continue;
    }
    const auto headroom = static_cast<std::int32_t>(
      std::floor(HeadroomFor(task, aNow) * kFullShare));
    const std::int32_t step =
      std::min({ headroom, mSettings.mRaiseStep, kFull - bestEffort.mWanted });
    if (step < kSmallestStep) {
      continue;
    }
    bestEffort.mWanted += step;
    bestEffort.mRaisedAt = aNow;
    bestEffort.mCause = {};
    for (auto& [image, serving] : mServing) {
      serving.mLatency +=
        InterferenceOf(image, task, bestEffort) * step / kFullShare;
    }
  }
}

Duration ThrottleController::TimeOver(const Serving& aServing,
                                      Instant aNow) const
{
  const Duration over = aServing.mTimer.TimeOver(aNow);
  if (over == Duration::zero()) {
    return over;
  }
  return over +
         std::max(Duration::zero(),
                  mPollInterval.Expected() - mSettings.mUsualPollInterval);
}

void ThrottleController::ReduceInterference(Instant aNow)
{
  for (auto& [image, serving] : mServing) {
    if (serving.mLatency > std::log(mSettings.mOverTargetShare) &&
        aNow - serving.mLoweredAt >= mSettings.mStepInterval) {
      Lower(image, serving.mLatency - std::log(mSettings.mAimedShare));
      serving.mLoweredAt = aNow;
    }
    const Duration over = TimeOver(serving, aNow);
    if (over > mSettings.mStopAllAfter) {
      Stop(image, ThrottleReason::TooLongOver);
    } else if (over > mSettings.mStopAfter) {
      Stop(image, ThrottleReason::LongOver);
    }
  }
}

bool ThrottleController::IsDue(const BestEffortTask& aBestEffort)
{
  if (!aBestEffort.mInForce) {
    return true;
  }
  const std::int32_t wanted = aBestEffort.mWanted;
  const bool end = wanted == 0 || wanted == kFull;
  return std::abs(wanted - *aBestEffort.mInForce) >= kSmallestStep ||
         (wanted != *aBestEffort.mInForce && end);
}

std::vector<ThrottleChange> ThrottleController::Update(
  std::span<const RunningTask> aRunning,
  Instant aNow)
{
  mPollInterval.Update(aNow);
  OnPoll(aRunning, aNow);
  ReduceInterference(aNow);
  Raise(aNow);
  std::vector<ThrottleChange> changes;
  for (auto& [task, bestEffort] : mBestEffort) {
    if (IsDue(bestEffort)) {
      changes.push_back(ChangeOf(task, bestEffort));
    }
  }
  return changes;
}

ThrottleChange ThrottleController::ChangeOf(
  const TaskRef& aTask,
  const BestEffortTask& aBestEffort) const
{
  return { aTask,
           aBestEffort.mRun,
           aBestEffort.mWanted,
           mMetadata.ImageOf(aTask),
           aBestEffort.mCause,
           aBestEffort.mInForce &&
             aBestEffort.mWanted > *aBestEffort.mInForce };
}

const std::string* ThrottleController::ServingToProtect(const TaskRef& aTask,
                                                        Instant aNow) const
{
  const std::string& bestEffortImage = mMetadata.ImageOf(aTask);
  for (const auto& [image, serving] : mServing) {
    const bool mayInterfere =
      PerCore(image, bestEffortImage) >= mSettings.mHarmlessWeight ||
      TimeOver(serving, aNow) > mSettings.mStopAllAfter;
    if (serving.mTimer.IsOver() && mayInterfere) {
      return &image;
    }
  }
  return nullptr;
}

std::optional<ThrottleChange> ThrottleController::ThrottleForStart(
  const TaskRef& aTask,
  RunNumber aRun,
  Instant aNow)
{
  const TaskMetadataTable::Entry* known = mMetadata.Find(aTask);
  if (known == nullptr || !known->mMetadata.mBestEffort) {
    return std::nullopt;
  }
  RunningTask started;
  started.mTask = aTask;
  started.mRun = aRun;
  UpdateBestEffort(*known, started);
  const std::string* serving = ServingToProtect(aTask, aNow);
  if (serving == nullptr) {
    return std::nullopt;
  }
  BestEffortTask& bestEffort = mBestEffort.at(aTask);
  bestEffort.mWanted = 0;
  bestEffort.mCause = Cause(ThrottleReason::Interferes, *serving, aTask);
  return ChangeOf(aTask, bestEffort);
}

std::vector<OverTarget> ThrottleController::OverTargets(Instant aNow) const
{
  std::vector<std::string> colocated;
  for (const auto& [task, bestEffort] : mBestEffort) {
    colocated.push_back(absl::StrCat(
      mMetadata.ImageOf(task),
      "=",
      bestEffort.mInForce ? absl::StrCat(*bestEffort.mInForce) : "?"));
  }
  std::vector<OverTarget> over;
  for (const auto& [image, serving] : mServing) {
    if (serving.mTimer.IsOver()) {
      over.push_back({ image,
                       serving.mTimer.TimeOver(aNow),
                       std::exp(serving.mLatency),
                       colocated });
    }
  }
  return over;
}

void ThrottleController::OnThrottled(const ThrottleChange& aChange)
{
  if (const auto found = mBestEffort.find(aChange.mTask);
      found != mBestEffort.end() && found->second.mRun == aChange.mRun) {
    found->second.mInForce = aChange.mPercent;
  }
}

void ThrottleController::OnUnanswered(const ThrottleChange& aChange)
{
  if (const auto found = mBestEffort.find(aChange.mTask);
      found != mBestEffort.end() && found->second.mRun == aChange.mRun) {
    found->second.mInForce.reset();
  }
}

} // namespace foxtailbarrow::cell
