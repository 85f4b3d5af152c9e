#include "src/core/cell/PaceGovernor.h"

#include <algorithm>
#include <array>

namespace foxtailbarrow::cell {

namespace {

/// From full speed to a standstill in four steps, so that two seconds suffice
/// to take all pressure from a serving task.
constexpr std::array<std::int32_t, 5> kLevels = { 100, 60, 30, 10, 0 };

} // namespace

PaceGovernor::PaceGovernor(PaceSettings aSettings)
  : mSettings(aSettings)
{
}

void PaceGovernor::NoteTraits(const TaskTraits& aTraits)
{
  mTraits[aTraits.mTask] = aTraits;
}

std::int32_t PaceGovernor::Percent() const
{
  return kLevels[mLevel];
}

std::vector<PaceChange> PaceGovernor::Judge(
  std::span<const RunningTask> aRunning,
  Instant aNow)
{
  double worst = 0;
  for (const RunningTask& task : aRunning) {
    const auto traits = mTraits.find(task.mTask);
    if (traits == mTraits.end() ||
        traits->second.mLatencyTarget == Duration::zero()) {
      continue;
    }
    const auto target = std::chrono::duration_cast<std::chrono::milliseconds>(
      traits->second.mLatencyTarget);
    worst = std::max(worst,
                     static_cast<double>(task.mFigure) /
                       static_cast<double>(std::max<std::int64_t>(
                         target.count(), 1)));
  }
  Step(worst, aNow);
  std::vector<PaceChange> changes;
  std::map<TaskRef, PaceChange> kept;
  for (const RunningTask& task : aRunning) {
    const auto traits = mTraits.find(task.mTask);
    if (traits == mTraits.end() || !traits->second.mLeftover) {
      continue;
    }
    const auto paced = mPaced.find(task.mTask);
    const bool told =
      paced != mPaced.end() && paced->second.mRun == task.mRun;
    const std::int32_t now = told ? paced->second.mPercent : kLevels[0];
    if (told) {
      kept.insert(*paced);
    }
    if (now != Percent()) {
      changes.push_back({ task.mTask, task.mRun, Percent() });
    }
  }
  mPaced = std::move(kept);
  std::erase_if(mTraits, [&](const auto& aTraits) {
    return std::ranges::none_of(aRunning, [&](const RunningTask& aTask) {
      return aTask.mTask == aTraits.first;
    });
  });
  return changes;
}

void PaceGovernor::NotePaced(const PaceChange& aChange)
{
  mPaced[aChange.mTask] = aChange;
}

void PaceGovernor::Step(double aWorst, Instant aNow)
{
  const Duration since = aNow - mSteppedAt;
  if (aWorst > mSettings.mPressedShare && since >= mSettings.mStepDown) {
    const std::size_t steps = aWorst > mSettings.mFarOverShare ? 2 : 1;
    mLevel = std::min(mLevel + steps, kLevels.size() - 1);
    mSteppedAt = aNow;
  } else if (aWorst < mSettings.mRelaxedShare && mLevel > 0 &&
             since >= mSettings.mStepUp) {
    --mLevel;
    mSteppedAt = aNow;
  }
}

} // namespace foxtailbarrow::cell
