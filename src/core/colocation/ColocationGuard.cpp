#include "src/core/colocation/ColocationGuard.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace foxtailbarrow {

namespace {

constexpr Duration kHistory = std::chrono::minutes(2);

/// Maximum of windows waiting for evaluation.
constexpr std::size_t kMaxWindows = 64;

/// Excess within this time after raising a fraction is attributed to the raise.
constexpr Duration kRaiseTrial = std::chrono::seconds(30);

/// Range of ToleranceFactor().
constexpr double kMinTolerance = 0.5;
constexpr double kMaxTolerance = 4.0;

constexpr double kMinWeight = 0.01;

/// Expected usage of a task at the fraction; < 0 = unknown.
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

void ColocationGuard::OnUsage(const TaskKey& aKey,
                              double aUsed,
                              Instant aTakenAt)
{
  const auto fraction = mHistory.AttributeUsage(aKey, aUsed, aTakenAt);
  if (const auto state = mStates.find(aKey);
      fraction && state != mStates.end()) {
    state->second.mFullUse = aUsed / *fraction;
  }
}

void ColocationGuard::OnLatencies(const LatencyWindow& aWindow)
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

std::vector<ColocationAction> ColocationGuard::Advance(Instant aNow)
{
  std::vector<ColocationAction> actions;
  while (!mWindows.empty() &&
         mWindows.front().mEnd + mSettings.mUsageWait <= aNow) {
    EvaluateWindow(mWindows.front());
    mWindows.pop_front();
  }
  ThrottleAhead(aNow, actions);
  if (!actions.empty() || aNow < mSteppedAt + mSettings.mCoolDown) {
    return actions;
  }
  if (mBadInRow >= mSettings.mBadWindows) {
    ThrottleOrEvict(aNow, actions);
  } else if (mGoodInRow >= mSettings.mGoodWindows) {
    RelaxThrottle(aNow, actions);
  }
  return actions;
}

void ColocationGuard::EvaluateWindow(const LatencyWindow& aWindow)
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
  const double allowed = AllowedExcess();
  mBadInRow = mExcess > allowed ? mBadInRow + 1 : 0;
  const double recovered =
    allowed * mSettings.mRecoveredExcess / mSettings.mMaxExcess;
  mGoodInRow = mExcess < recovered ? mGoodInRow + 1 : 0;
}

/// Factor on the tolerated excess and on how long it is tolerated. Grows with
/// the weight of evictions relative to the weight of tail latency.
double ColocationGuard::ToleranceFactor(double aEvictionWeight) const
{
  const double ratio = std::max(kMinWeight, aEvictionWeight) /
                       std::max(kMinWeight, mLatencyWeight);
  return std::clamp(std::sqrt(ratio), kMinTolerance, kMaxTolerance);
}

double ColocationGuard::AllowedExcess() const
{
  double weight = 0.0;
  for (const ColocatedTask& task : mTasks) {
    weight = std::max(weight, task.mEvictionWeight);
  }
  return mSettings.mMaxExcess *
         (mTasks.empty() ? 1.0 : ToleranceFactor(weight));
}

double ColocationGuard::InterferenceOf(const ColocatedTask& aTask) const
{
  return mModel.InterferenceOf(aTask, mLevel);
}

bool ColocationGuard::MayAct(const ColocatedTask& aTask) const
{
  return !mStates.at(aTask.mKey).mEvicting;
}

bool ColocationGuard::MayThrottle(const ColocatedTask& aTask) const
{
  return MayAct(aTask) && aTask.mFraction > mSettings.mMinFraction;
}

ColocatedTask* ColocationGuard::MostInterfering(bool aToThrottle)
{
  ColocatedTask* worst = nullptr;
  for (ColocatedTask& task : mTasks) {
    const bool isEligible =
      MayThrottle(task) || (!aToThrottle && task.mEvictable && MayAct(task));
    if (isEligible && InterferenceOf(task) > 0.0 &&
        (worst == nullptr || InterferenceOf(task) > InterferenceOf(*worst))) {
      worst = &task;
    }
  }
  return worst;
}

void ColocationGuard::HalveFraction(ColocatedTask& aTask,
                                    std::vector<ColocationAction>& aActions)
{
  SetFraction(
    aTask, std::max(mSettings.mMinFraction, aTask.mFraction / 2), aActions);
}

void ColocationGuard::SetFraction(ColocatedTask& aTask,
                                  double aFraction,
                                  std::vector<ColocationAction>& aActions)
{
  State& state = mStates[aTask.mKey];
  aTask.mFraction = state.mFraction = aFraction;
  aTask.mUsed = UsedAt(state.mFullUse, aFraction);
  aActions.emplace_back(ThrottleBatch{ aTask.mKey, aFraction });
}

void ColocationGuard::OnStepTaken(Instant aNow)
{
  mBadInRow = mGoodInRow = 0;
  mSteppedAt = aNow;
  mHistory.Set(mTasks, aNow);
}

void ColocationGuard::ThrottleAhead(Instant aNow,
                                    std::vector<ColocationAction>& aActions)
{
  while (mModel.ExpectedExcess(mTasks, mLevel) > AllowedExcess()) {
    ColocatedTask* const worst = MostInterfering(true);
    if (worst == nullptr) {
      break;
    }
    HalveFraction(*worst, aActions);
  }
  if (!aActions.empty()) {
    OnStepTaken(aNow);
  }
}

void ColocationGuard::ThrottleOrEvict(Instant aNow,
                                      std::vector<ColocationAction>& aActions)
{
  ColocatedTask* const worst = MostInterfering(false);
  if (worst == nullptr) {
    return;
  }
  if (MayThrottle(*worst)) {
    ExtendBackOff(*worst, aNow);
    HalveFraction(*worst, aActions);
    OnStepTaken(aNow);
    return;
  }
  // An eviction loses more work than a throttle, so require more bad windows.
  const double needed =
    2.0 * mSettings.mBadWindows * ToleranceFactor(worst->mEvictionWeight);
  if (mBadInRow >= needed) {
    mStates[worst->mKey].mEvicting = true;
    aActions.emplace_back(EvictBatch{ worst->mKey });
    OnStepTaken(aNow);
  }
}

void ColocationGuard::ExtendBackOff(const ColocatedTask& aTask, Instant aNow)
{
  const Instant raisedAt = mStates[aTask.mKey].mRaisedAt;
  if (raisedAt == Instant{} || raisedAt + kRaiseTrial < aNow) {
    return;
  }
  BackOff& backOff = mBackOffs[aTask.mClass];
  backOff.mLength = std::min(mSettings.mMaxBackOff,
                             std::max(mSettings.mBackOff, 2 * backOff.mLength));
  backOff.mUntil = aNow + backOff.mLength;
}

bool ColocationGuard::MayRaise(const ColocatedTask& aTask, Instant aNow) const
{
  if (aTask.mFraction >= 1.0 || !MayAct(aTask)) {
    return false;
  }
  const auto backOff = mBackOffs.find(aTask.mClass);
  const bool isBackingOff =
    backOff != mBackOffs.end() && backOff->second.mUntil > aNow;
  // Raising doubles the task's own part of the expected excess.
  const double raised =
    mModel.ExpectedExcess(mTasks, mLevel) + InterferenceOf(aTask);
  return !isBackingOff && raised <= AllowedExcess();
}

void ColocationGuard::RelaxThrottle(Instant aNow,
                                    std::vector<ColocationAction>& aActions)
{
  ColocatedTask* best = nullptr;
  for (ColocatedTask& task : mTasks) {
    if (MayRaise(task, aNow) &&
        (best == nullptr || InterferenceOf(task) < InterferenceOf(*best))) {
      best = &task;
    }
  }
  if (best == nullptr) {
    return;
  }
  mStates[best->mKey].mRaisedAt = aNow;
  SetFraction(*best, std::min(1.0, best->mFraction * 2), aActions);
  OnStepTaken(aNow);
}

} // namespace foxtailbarrow
