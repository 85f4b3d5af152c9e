#include "src/core/cell/PaceGovernor.h"

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

double ShareOfTarget(const TaskTraits& aTraits, std::int64_t aLatencyMs)
{
  return static_cast<double>(aLatencyMs) /
         std::chrono::duration<double, std::milli>(aTraits.mLatencyTarget)
           .count();
}

} // namespace

PaceGovernor::PaceGovernor(PaceSettings aSettings)
  : mSettings(aSettings)
{
}

void PaceGovernor::NoteTraits(const TaskTraits& aTraits)
{
  mTraits.Note(aTraits);
}

void PaceGovernor::NoteStart(const TaskTraits& aTraits, RunNumber aRun)
{
  mTraits.NoteStart(aTraits, aRun);
}

void PaceGovernor::TakePressures(std::span<const Pressure> aPressures)
{
  for (const Pressure& pressure : aPressures) {
    mPerCore[{ pressure.mServing, pressure.mLeftover }] = pressure.mPerCore;
  }
}

double PaceGovernor::PerCore(const std::string& aServing,
                             const std::string& aImage) const
{
  const auto found = mPerCore.find({ aServing, aImage });
  return found == mPerCore.end() ? InterferenceSettings().mPriorPerCore
                                 : found->second;
}

void PaceGovernor::TakeServing(const std::string& aImage,
                               double aShare,
                               Instant aNow)
{
  const double latency = std::log(aShare);
  Serving& serving = mServing[aImage];
  serving.mLatency =
    serving.mLatency != 0
      ? mSettings.mNewest * latency + (1 - mSettings.mNewest) * serving.mLatency
      : latency;
  serving.mTimer.Take(aShare, mSettings.mOverTarget, aNow);
}

void PaceGovernor::TakeLeftover(const TraitsBook::Entry& aKnown,
                                const RunningTask& aRunning)
{
  Leftover& leftover = mLeftover[aRunning.mTask];
  if (leftover.mRun != aRunning.mRun) {
    leftover = {};
    leftover.mRun = aRunning.mRun;
    if (aKnown.mStarted != aRunning.mRun) {
      // An earlier agent may have slowed it down.
      leftover.mTold.reset();
      leftover.mWanted = aRunning.mFigure > 0 ? kFull : 0;
    }
  }
  leftover.mCores = static_cast<double>(aRunning.mFigure) / kMillicores;
  leftover.mSeen = true;
}

void PaceGovernor::TakeLook(std::span<const RunningTask> aRunning, Instant aNow)
{
  for (auto& [image, serving] : mServing) {
    serving.mSeen = false;
  }
  for (auto& [task, leftover] : mLeftover) {
    leftover.mSeen = false;
  }
  mTraits.BeginLook();
  std::map<std::string, double> worst; ///< Share of the target, by image.
  mUnknownTasks = 0;
  for (const RunningTask& running : aRunning) {
    const TraitsBook::Entry* known = mTraits.See(running.mTask);
    if (known == nullptr) {
      ++mUnknownTasks;
      continue;
    }
    const TaskTraits& traits = known->mTraits;
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
    if (traits.mLeftover) {
      TakeLeftover(*known, running);
    }
  }
  for (const auto& [image, share] : worst) {
    TakeServing(image, share, aNow);
    mServing.at(image).mSeen = true;
  }
  mTraits.EndLook();
  std::erase_if(mServing,
                [](const auto& aEntry) { return !aEntry.second.mSeen; });
  std::erase_if(mLeftover,
                [](const auto& aEntry) { return !aEntry.second.mSeen; });
}

double PaceGovernor::PressureOf(const std::string& aServing,
                                const TaskRef& aTask,
                                const Leftover& aLeftover) const
{
  // At full pace; a slowed task uses less than it would.
  const double cores =
    aLeftover.mTold >= kSmallestStep && aLeftover.mCores > 0
      ? std::min(kUnknownCores * 2,
                 aLeftover.mCores * kFullShare / *aLeftover.mTold)
      : kUnknownCores;
  return PerCore(aServing, mTraits.ImageOf(aTask)) * cores;
}

/// Lowers the paces of those that press most, until the pressure is expected to
/// be lower by `aExcess`.
void PaceGovernor::Lower(const std::string& aServing, double aExcess)
{
  std::vector<std::pair<double, TaskRef>> pressing;
  for (const auto& [task, leftover] : mLeftover) {
    const double pressure = PressureOf(aServing, task, leftover);
    if (pressure > 0 && leftover.mWanted > 0) {
      pressing.emplace_back(pressure, task);
    }
  }
  std::ranges::sort(pressing, std::greater());
  for (const auto& [pressure, task] : pressing) {
    if (aExcess <= 0) {
      return;
    }
    Leftover& leftover = mLeftover.at(task);
    const double now = pressure * leftover.mWanted / kFullShare;
    const double taken = std::min(now, aExcess);
    aExcess -= taken;
    leftover.mWanted = static_cast<std::int32_t>(
      std::floor(kFullShare * (now - taken) / pressure));
    leftover.mCause = Cause(PaceReason::Pressed, aServing, task);
  }
}

void PaceGovernor::Stop(const std::string& aServing, PaceReason aReason)
{
  const double least =
    aReason == PaceReason::TooLongOver ? 0.0 : mSettings.mHarmless;
  for (auto& [task, leftover] : mLeftover) {
    const PaceCause cause = Cause(aReason, aServing, task);
    if (cause.mPerCore >= least && leftover.mWanted > 0) {
      leftover.mWanted = 0;
      leftover.mCause = cause;
    }
  }
}

PaceCause PaceGovernor::Cause(PaceReason aReason,
                              const std::string& aServing,
                              const TaskRef& aTask) const
{
  return { .mReason = aReason,
           .mServing = aServing,
           .mLatencyShare = std::exp(mServing.at(aServing).mLatency),
           .mPerCore = PerCore(aServing, mTraits.ImageOf(aTask)) };
}

/// Pressure that the serving tasks beside it can still take, in units of this
/// task's pressure at full pace.
double PaceGovernor::RoomFor(const TaskRef& aTask, Instant aNow) const
{
  double room = 1.0;
  for (const auto& [image, serving] : mServing) {
    if (TimeOver(serving, aNow) > mSettings.mAllAfter) {
      return 0;
    }
    const double pressure = PressureOf(image, aTask, mLeftover.at(aTask));
    if (PerCore(image, mTraits.ImageOf(aTask)) < mSettings.mHarmless) {
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

void PaceGovernor::Raise(Instant aNow)
{
  for (auto& [task, leftover] : mLeftover) {
    if (leftover.mWanted == kFull ||
        aNow - leftover.mRaisedAt < mSettings.mStepEvery) {
      continue;
    }
    const auto room =
      static_cast<std::int32_t>(std::floor(RoomFor(task, aNow) * kFullShare));
    const std::int32_t step =
      std::min({ room, mSettings.mRaiseStep, kFull - leftover.mWanted });
    if (step < kSmallestStep) {
      continue;
    }
    leftover.mWanted += step;
    leftover.mRaisedAt = aNow;
    leftover.mCause = {};
    for (auto& [image, serving] : mServing) {
      serving.mLatency += PressureOf(image, task, leftover) * step / kFullShare;
    }
  }
}

Duration PaceGovernor::TimeOver(const Serving& aServing, Instant aNow) const
{
  const Duration over = aServing.mTimer.TimeOver(aNow);
  if (over == Duration::zero()) {
    return over;
  }
  return over + std::max(Duration::zero(),
                         mLookGap.Expected() - mSettings.mUsualLookGap);
}

void PaceGovernor::Relieve(Instant aNow)
{
  for (auto& [image, serving] : mServing) {
    if (serving.mLatency > std::log(mSettings.mPressedShare) &&
        aNow - serving.mLoweredAt >= mSettings.mStepEvery) {
      Lower(image, serving.mLatency - std::log(mSettings.mAimedShare));
      serving.mLoweredAt = aNow;
    }
    const Duration over = TimeOver(serving, aNow);
    if (over > mSettings.mAllAfter) {
      Stop(image, PaceReason::TooLongOver);
    } else if (over > mSettings.mHardAfter) {
      Stop(image, PaceReason::LongOver);
    }
  }
}

bool PaceGovernor::IsDue(const Leftover& aLeftover)
{
  if (!aLeftover.mTold) {
    return true;
  }
  const std::int32_t wanted = aLeftover.mWanted;
  const bool end = wanted == 0 || wanted == kFull;
  return std::abs(wanted - *aLeftover.mTold) >= kSmallestStep ||
         (wanted != *aLeftover.mTold && end);
}

std::vector<PaceChange> PaceGovernor::Judge(
  std::span<const RunningTask> aRunning,
  Instant aNow)
{
  mLookGap.Take(aNow);
  TakeLook(aRunning, aNow);
  Relieve(aNow);
  Raise(aNow);
  std::vector<PaceChange> changes;
  for (auto& [task, leftover] : mLeftover) {
    if (IsDue(leftover)) {
      changes.push_back(ChangeOf(task, leftover));
    }
  }
  return changes;
}

PaceChange PaceGovernor::ChangeOf(const TaskRef& aTask,
                                  const Leftover& aLeftover) const
{
  return { aTask,
           aLeftover.mRun,
           aLeftover.mWanted,
           mTraits.ImageOf(aTask),
           aLeftover.mCause,
           aLeftover.mTold && aLeftover.mWanted > *aLeftover.mTold };
}

const std::string* PaceGovernor::Protected(const TaskRef& aTask,
                                           Instant aNow) const
{
  const std::string& leftover = mTraits.ImageOf(aTask);
  for (const auto& [image, serving] : mServing) {
    const bool mayPress = PerCore(image, leftover) >= mSettings.mHarmless ||
                          TimeOver(serving, aNow) > mSettings.mAllAfter;
    if (serving.mTimer.IsOver() && mayPress) {
      return &image;
    }
  }
  return nullptr;
}

std::optional<PaceChange> PaceGovernor::JudgeStart(const TaskRef& aTask,
                                                   RunNumber aRun,
                                                   Instant aNow)
{
  const TraitsBook::Entry* known = mTraits.Find(aTask);
  if (known == nullptr || !known->mTraits.mLeftover) {
    return std::nullopt;
  }
  RunningTask started;
  started.mTask = aTask;
  started.mRun = aRun;
  TakeLeftover(*known, started);
  const std::string* serving = Protected(aTask, aNow);
  if (serving == nullptr) {
    return std::nullopt;
  }
  Leftover& leftover = mLeftover.at(aTask);
  leftover.mWanted = 0;
  leftover.mCause = Cause(PaceReason::Pressed, *serving, aTask);
  return ChangeOf(aTask, leftover);
}

std::vector<OverTarget> PaceGovernor::OverTargets(Instant aNow) const
{
  std::vector<std::string> beside;
  for (const auto& [task, leftover] : mLeftover) {
    beside.push_back(
      absl::StrCat(mTraits.ImageOf(task),
                   "=",
                   leftover.mTold ? absl::StrCat(*leftover.mTold) : "?"));
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

void PaceGovernor::NotePaced(const PaceChange& aChange)
{
  if (const auto found = mLeftover.find(aChange.mTask);
      found != mLeftover.end() && found->second.mRun == aChange.mRun) {
    found->second.mTold = aChange.mPercent;
  }
}

void PaceGovernor::NoteUnanswered(const PaceChange& aChange)
{
  if (const auto found = mLeftover.find(aChange.mTask);
      found != mLeftover.end() && found->second.mRun == aChange.mRun) {
    found->second.mTold.reset();
  }
}

} // namespace foxtailbarrow::cell
