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

/// Range of ToleranceFactor().
constexpr double kMinTolerance = 0.5;
constexpr double kMaxTolerance = 4.0;

constexpr double kMinWeight = 0.01;

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
  std::vector<ColocationAction> acts;
  while (!mWindows.empty() &&
         mWindows.front().mEnd + mSettings.mUsageWait <= aNow) {
    EvaluateWindow(mWindows.front());
    mWindows.pop_front();
  }
  ThrottleAhead(aNow, acts);
  if (!acts.empty() || aNow < mSteppedAt + mSettings.mCoolDown) {
    return acts;
  }
  if (mBad >= mSettings.mBadWindows) {
    ThrottleOrEvict(aNow, acts);
  } else if (mGood >= mSettings.mGoodWindows) {
    RelaxThrottle(aNow, acts);
  }
  return acts;
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
  const double bearable = AllowedExcess();
  mBad = mExcess > bearable ? mBad + 1 : 0;
  const double well =
    bearable * mSettings.mRecoveredExcess / mSettings.mMaxExcess;
  mGood = mExcess < well ? mGood + 1 : 0;
}

/// How much more excess, and for how much longer, is borne to spare an
/// eviction of that weight.
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
    const bool isOpen =
      MayThrottle(task) || (!aToThrottle && task.mEvictable && MayAct(task));
    if (isOpen && InterferenceOf(task) > 0.0 &&
        (worst == nullptr || InterferenceOf(task) > InterferenceOf(*worst))) {
      worst = &task;
    }
  }
  return worst;
}

void ColocationGuard::Halve(ColocatedTask& aTask,
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
  mBad = mGood = 0;
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
    Halve(*worst, aActions);
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
    Halve(*worst, aActions);
    OnStepTaken(aNow);
    return;
  }
  // An eviction wastes more than a throttle, so that the case must be clearer.
  const double needed =
    2.0 * mSettings.mBadWindows * ToleranceFactor(worst->mEvictionWeight);
  if (mBad >= needed) {
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
  const bool isHeld =
    backOff != mBackOffs.end() && backOff->second.mUntil > aNow;
  // The raise doubles the task's own part of what is expected.
  const double raised =
    mModel.ExpectedExcess(mTasks, mLevel) + InterferenceOf(aTask);
  return !isHeld && raised <= AllowedExcess();
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
