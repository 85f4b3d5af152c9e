#include "src/core/cell/ThrottleController.h"

#include <algorithm>
#include <cmath>

#include "absl/strings/str_cat.h"

namespace foxtailbarrow::cell {

namespace {

constexpr std::int32_t kFull = 100;
constexpr double kFullShare = 100.0;
constexpr double kMillicores = 1000.0;
/// Cores that a task at a standstill is taken to use at full pace.
constexpr double kUnknownCores = 6.0;
/// Part of the room that one round of raises may use up, since figures lag.
constexpr double kRaiseShare = 0.6;
/// Steps below this are not worth a call.
constexpr std::int32_t kSmallestStep = 5;

double ShareOfTarget(const TaskMetadata& aTraits, std::int64_t aLatencyMs)
{
  return static_cast<double>(aLatencyMs) /
         std::chrono::duration<double, std::milli>(aTraits.mLatencyTarget)
           .count();
}

} // namespace

ThrottleController::ThrottleController(ThrottleSettings aSettings)
  : mSettings(aSettings)
{
}

void ThrottleController::SetMetadata(const TaskMetadata& aTraits)
{
  mMetadata.Set(aTraits);
}

void ThrottleController::OnStart(const TaskMetadata& aTraits, RunNumber aRun)
{
  mMetadata.OnStart(aTraits, aRun);
}

void ThrottleController::SetInterferenceWeights(
  std::span<const InterferenceWeight> aPressures)
{
  for (const InterferenceWeight& pressure : aPressures) {
    mPerCore[{ pressure.mServing, pressure.mBestEffort }] = pressure.mPerCore;
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
  const TaskMetadataTable::Entry& aKnown,
  const RunningTask& aRunning)
{
  BestEffortTask& leftover = mBestEffort[aRunning.mTask];
  if (leftover.mRun != aRunning.mRun) {
    leftover = {};
    leftover.mRun = aRunning.mRun;
    if (aKnown.mStarted != aRunning.mRun) {
      // An earlier agent may have slowed it down.
      leftover.mInForce.reset();
      leftover.mWanted = aRunning.mFigure > 0 ? kFull : 0;
    }
  }
  leftover.mCores = static_cast<double>(aRunning.mFigure) / kMillicores;
  leftover.mSeen = true;
}

void ThrottleController::OnPoll(std::span<const RunningTask> aRunning,
                                Instant aNow)
{
  for (auto& [image, serving] : mServing) {
    serving.mSeen = false;
  }
  for (auto& [task, leftover] : mBestEffort) {
    leftover.mSeen = false;
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
    const TaskMetadata& traits = known->mMetadata;
    if (traits.mLatencyTarget > Duration::zero()) {
      // A gap in its figures does not end the time that it is over.
      if (const auto image = mServing.find(traits.mImage);
          image != mServing.end()) {
        image->second.mSeen = true;
      }
      // While it starts up its figure says nothing.
      if (running.mFigure > 0 && running.mPercent == kFull) {
        double& share = worst[traits.mImage];
        share = std::max(share, ShareOfTarget(traits, running.mFigure));
      }
    }
    if (traits.mBestEffort) {
      UpdateBestEffort(*known, running);
    }
  }
  for (const auto& [image, share] : worst) {
    UpdateServing(image, share, aNow);
    mServing.at(image).mSeen = true;
  }
  mMetadata.EndPoll();
  std::erase_if(mServing,
                [](const auto& aEntry) { return !aEntry.second.mSeen; });
  std::erase_if(mBestEffort,
                [](const auto& aEntry) { return !aEntry.second.mSeen; });
}

double ThrottleController::InterferenceOf(
  const std::string& aServing,
  const TaskRef& aTask,
  const BestEffortTask& aBestEffort) const
{
  // At full pace; a slowed task uses less than it would.
  const double cores =
    aBestEffort.mInForce >= kSmallestStep && aBestEffort.mCores > 0
      ? std::min(kUnknownCores * 2,
                 aBestEffort.mCores * kFullShare / *aBestEffort.mInForce)
      : kUnknownCores;
  return PerCore(aServing, mMetadata.ImageOf(aTask)) * cores;
}

/// Lowers the paces of those that press most, until the pressure is expected to
/// be lower by `aExcess`.
void ThrottleController::Lower(const std::string& aServing, double aExcess)
{
  std::vector<std::pair<double, TaskRef>> pressing;
  for (const auto& [task, leftover] : mBestEffort) {
    const double pressure = InterferenceOf(aServing, task, leftover);
    if (pressure > 0 && leftover.mWanted > 0) {
      pressing.emplace_back(pressure, task);
    }
  }
  std::ranges::sort(pressing, std::greater());
  for (const auto& [pressure, task] : pressing) {
    if (aExcess <= 0) {
      return;
    }
    BestEffortTask& leftover = mBestEffort.at(task);
    const double now = pressure * leftover.mWanted / kFullShare;
    const double taken = std::min(now, aExcess);
    aExcess -= taken;
    leftover.mWanted = static_cast<std::int32_t>(
      std::floor(kFullShare * (now - taken) / pressure));
    leftover.mCause = Cause(ThrottleReason::Interferes, aServing, task);
  }
}

void ThrottleController::Stop(const std::string& aServing,
                              ThrottleReason aReason)
{
  const double least =
    aReason == ThrottleReason::TooLongOver ? 0.0 : mSettings.mHarmlessWeight;
  for (auto& [task, leftover] : mBestEffort) {
    const ThrottleCause cause = Cause(aReason, aServing, task);
    if (cause.mPerCore >= least && leftover.mWanted > 0) {
      leftover.mWanted = 0;
      leftover.mCause = cause;
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

/// InterferenceWeight that the serving tasks beside it can still take, in units
/// of this task's pressure at full pace.
double ThrottleController::HeadroomFor(const TaskRef& aTask, Instant aNow) const
{
  double room = 1.0;
  for (const auto& [image, serving] : mServing) {
    if (TimeOver(serving, aNow) > mSettings.mStopAllAfter) {
      return 0;
    }
    const double pressure = InterferenceOf(image, aTask, mBestEffort.at(aTask));
    if (PerCore(image, mMetadata.ImageOf(aTask)) < mSettings.mHarmlessWeight) {
      continue;
    }
    if (aNow - serving.mLoweredAt < mSettings.mStepEvery) {
      return 0;
    }
    const double left = std::log(mSettings.mAimedShare) - serving.mLatency;
    room = std::min(room, kRaiseShare * left / pressure);
  }
  return std::max(0.0, room);
}

void ThrottleController::Raise(Instant aNow)
{
  for (auto& [task, leftover] : mBestEffort) {
    if (leftover.mWanted == kFull ||
        aNow - leftover.mRaisedAt < mSettings.mStepEvery) {
      continue;
    }
    const auto room = static_cast<std::int32_t>(
      std::floor(HeadroomFor(task, aNow) * kFullShare));
    const std::int32_t step =
      std::min({ room, mSettings.mRaiseStep, kFull - leftover.mWanted });
    if (step < kSmallestStep) {
      continue;
    }
    leftover.mWanted += step;
    leftover.mRaisedAt = aNow;
    leftover.mCause = {};
    for (auto& [image, serving] : mServing) {
      serving.mLatency +=
        InterferenceOf(image, task, leftover) * step / kFullShare;
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

void ThrottleController::Relieve(Instant aNow)
{
  for (auto& [image, serving] : mServing) {
    if (serving.mLatency > std::log(mSettings.mOverTargetShare) &&
        aNow - serving.mLoweredAt >= mSettings.mStepEvery) {
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
  Relieve(aNow);
  Raise(aNow);
  std::vector<ThrottleChange> changes;
  for (auto& [task, leftover] : mBestEffort) {
    if (IsDue(leftover)) {
      changes.push_back(ChangeOf(task, leftover));
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

const std::string* ThrottleController::Protected(const TaskRef& aTask,
                                                 Instant aNow) const
{
  const std::string& leftover = mMetadata.ImageOf(aTask);
  for (const auto& [image, serving] : mServing) {
    const bool mayPress =
      PerCore(image, leftover) >= mSettings.mHarmlessWeight ||
      TimeOver(serving, aNow) > mSettings.mStopAllAfter;
    if (serving.mTimer.IsOver() && mayPress) {
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
  const std::string* serving = Protected(aTask, aNow);
  if (serving == nullptr) {
    return std::nullopt;
  }
  BestEffortTask& leftover = mBestEffort.at(aTask);
  leftover.mWanted = 0;
  leftover.mCause = Cause(ThrottleReason::Interferes, *serving, aTask);
  return ChangeOf(aTask, leftover);
}

std::vector<OverTarget> ThrottleController::OverTargets(Instant aNow) const
{
  std::vector<std::string> beside;
  for (const auto& [task, leftover] : mBestEffort) {
    beside.push_back(
      absl::StrCat(mMetadata.ImageOf(task),
                   "=",
                   leftover.mInForce ? absl::StrCat(*leftover.mInForce) : "?"));
  }
  std::vector<OverTarget> over;
  for (const auto& [image, serving] : mServing) {
    if (serving.mTimer.IsOver()) {
      over.push_back({ image,
                       serving.mTimer.TimeOver(aNow),
                       std::exp(serving.mLatency),
                       beside });
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
