#include "src/core/colocation/ColocationGuard.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace foxtailbarrow {

namespace {

constexpr Duration kHistory = std::chrono::minutes(2);

/// Windows kept while nobody judges them.
constexpr std::size_t kMaxWindows = 64;

/// Excess after a step back, within this time, is blamed on it.
constexpr Duration kRaiseTrial = std::chrono::seconds(30);

/// Range of Patience().
constexpr double kLeastPatience = 0.5;
constexpr double kMostPatience = 4.0;

constexpr double kLeastWeight = 0.01;

/// What a task uses at the fraction; < 0 = not known.
double UsedAt(double aFullUse, double aFraction)
{
  return aFullUse < 0.0 ? -1.0 : aFullUse * aFraction;
}

} // namespace

ColocationGuard::ColocationGuard(ColocationSettings aSettings)
  : mSettings(aSettings)
  , mHistory(kHistory)
{
}

void ColocationGuard::SetTasks(std::vector<ColocatedTask> aTasks, Instant aNow)
{
  std::map<TaskKey, State> states;
  for (ColocatedTask& task : aTasks) {
    State& state = states[task.mKey];
    state = mStates[task.mKey];
    task.mFraction = state.mFraction;
    task.mUsed = UsedAt(state.mFullUse, state.mFraction);
  }
  mStates = std::move(states);
  mTasks = std::move(aTasks);
  mHistory.Set(mTasks, aNow);
}

void ColocationGuard::UsageSeen(const TaskKey& aKey,
                                double aUsed,
                                Instant aTakenAt)
{
  const auto fraction = mHistory.Measured(aKey, aUsed, aTakenAt);
  if (const auto state = mStates.find(aKey);
      fraction && state != mStates.end()) {
    state->second.mFullUse = aUsed / *fraction;
  }
}

void ColocationGuard::LatenciesSeen(const LatencyWindow& aWindow)
{
  mWindows.push_back(aWindow);
  if (mWindows.size() > kMaxWindows) {
    mWindows.pop_front();
  }
}

double ColocationGuard::FractionOf(const TaskKey& aKey) const
{
  const auto state = mStates.find(aKey);
  return state == mStates.end() ? 1.0 : state->second.mFraction;
}

std::vector<ColocationAct> ColocationGuard::Advance(Instant aNow)
{
  std::vector<ColocationAct> acts;
  while (!mWindows.empty() &&
         mWindows.front().mEnd + mSettings.mUsageWait <= aNow) {
    Judge(mWindows.front());
    mWindows.pop_front();
  }
  Foresee(aNow, acts);
  if (!acts.empty() || aNow < mSteppedAt + mSettings.mCoolDown) {
    return acts;
  }
  if (mBad >= mSettings.mBadWindows) {
    StepAgainst(aNow, acts);
  } else if (mGood >= mSettings.mGoodWindows) {
    StepBack(aNow, acts);
  }
  return acts;
}

void ColocationGuard::Judge(const LatencyWindow& aWindow)
{
  const Placement* const placement =
    mHistory.Over(aWindow.mBegin, aWindow.mEnd);
  if (placement == nullptr) {
    return;
  }
  mModel.Learn(aWindow, *placement);
  mLevel = InterferenceModel::LevelOf(aWindow);
  if (aWindow.mBegin < mSteppedAt) {
    return;
  }
  mExcess = mModel.ExcessOf(aWindow);
  const double bearable = Bearable();
  mBad = mExcess > bearable ? mBad + 1 : 0;
  const double well = bearable * mSettings.mWell / mSettings.mTooMuch;
  mGood = mExcess < well ? mGood + 1 : 0;
}

/// How much more excess, and for how much longer, is borne to spare an
/// eviction of that weight.
double ColocationGuard::Patience(double aEvictionWeight) const
{
  const double ratio = std::max(kLeastWeight, aEvictionWeight) /
                       std::max(kLeastWeight, mLatencyWeight);
  return std::clamp(std::sqrt(ratio), kLeastPatience, kMostPatience);
}

double ColocationGuard::Bearable() const
{
  double weight = 0.0;
  for (const ColocatedTask& task : mTasks) {
    weight = std::max(weight, task.mEvictionWeight);
  }
  return mSettings.mTooMuch * (mTasks.empty() ? 1.0 : Patience(weight));
}

double ColocationGuard::HarmOf(const ColocatedTask& aTask) const
{
  return mModel.HarmOf(aTask, mLevel);
}

bool ColocationGuard::MayAct(const ColocatedTask& aTask) const
{
  return !mStates.at(aTask.mKey).mEvicting;
}

bool ColocationGuard::MayThrottle(const ColocatedTask& aTask) const
{
  return MayAct(aTask) && aTask.mFraction > mSettings.mLeastFraction;
}

ColocatedTask* ColocationGuard::MostHarmful(bool aToThrottle)
{
  ColocatedTask* worst = nullptr;
  for (ColocatedTask& task : mTasks) {
    const bool isOpen =
      MayThrottle(task) || (!aToThrottle && task.mEvictable && MayAct(task));
    if (isOpen && HarmOf(task) > 0.0 &&
        (worst == nullptr || HarmOf(task) > HarmOf(*worst))) {
      worst = &task;
    }
  }
  return worst;
}

void ColocationGuard::Halve(ColocatedTask& aTask,
                            std::vector<ColocationAct>& aActs)
{
  SetFraction(
    aTask, std::max(mSettings.mLeastFraction, aTask.mFraction / 2), aActs);
}

void ColocationGuard::SetFraction(ColocatedTask& aTask,
                                  double aFraction,
                                  std::vector<ColocationAct>& aActs)
{
  State& state = mStates[aTask.mKey];
  aTask.mFraction = state.mFraction = aFraction;
  aTask.mUsed = UsedAt(state.mFullUse, aFraction);
  aActs.emplace_back(ThrottleBatch{ aTask.mKey, aFraction });
}

void ColocationGuard::Stepped(Instant aNow)
{
  mBad = mGood = 0;
  mSteppedAt = aNow;
  mHistory.Set(mTasks, aNow);
}

void ColocationGuard::Foresee(Instant aNow, std::vector<ColocationAct>& aActs)
{
  while (mModel.ExpectedExcess(mTasks, mLevel) > Bearable()) {
    ColocatedTask* const worst = MostHarmful(true);
    if (worst == nullptr) {
      break;
    }
    Halve(*worst, aActs);
  }
  if (!aActs.empty()) {
    Stepped(aNow);
  }
}

void ColocationGuard::StepAgainst(Instant aNow,
                                  std::vector<ColocationAct>& aActs)
{
  ColocatedTask* const worst = MostHarmful(false);
  if (worst == nullptr) {
    return;
  }
  if (MayThrottle(*worst)) {
    PunishRaise(*worst, aNow);
    Halve(*worst, aActs);
    Stepped(aNow);
    return;
  }
  // An eviction wastes more than a throttle, so that the case must be clearer.
  const double needed =
    2.0 * mSettings.mBadWindows * Patience(worst->mEvictionWeight);
  if (mBad >= needed) {
    mStates[worst->mKey].mEvicting = true;
    aActs.emplace_back(EvictBatch{ worst->mKey });
    Stepped(aNow);
  }
}

void ColocationGuard::PunishRaise(const ColocatedTask& aTask, Instant aNow)
{
  const Instant raisedAt = mStates[aTask.mKey].mRaisedAt;
  if (raisedAt == Instant{} || raisedAt + kRaiseTrial < aNow) {
    return;
  }
  BackOff& backOff = mBackOffs[aTask.mClass];
  backOff.mLength = std::min(mSettings.mLongestBackOff,
                             std::max(mSettings.mBackOff, 2 * backOff.mLength));
  backOff.mUntil = aNow + backOff.mLength;
}

bool ColocationGuard::MayRaise(const ColocatedTask& aTask, Instant aNow) const
{
  if (aTask.mFraction >= 1.0 || !MayAct(aTask)) {
    return false;
  }
  const auto backOff = mBackOffs.find(aTask.mClass);
  const bool isHeld =
    backOff != mBackOffs.end() && backOff->second.mUntil > aNow;
  // The raise doubles the task's own part of what is expected.
  const double raised = mModel.ExpectedExcess(mTasks, mLevel) + HarmOf(aTask);
  return !isHeld && raised <= Bearable();
}

void ColocationGuard::StepBack(Instant aNow, std::vector<ColocationAct>& aActs)
{
  ColocatedTask* best = nullptr;
  for (ColocatedTask& task : mTasks) {
    if (MayRaise(task, aNow) &&
        (best == nullptr || HarmOf(task) < HarmOf(*best))) {
      best = &task;
    }
  }
  if (best == nullptr) {
    return;
  }
  mStates[best->mKey].mRaisedAt = aNow;
  SetFraction(*best, std::min(1.0, best->mFraction * 2), aActs);
  Stepped(aNow);
}

} // namespace foxtailbarrow
