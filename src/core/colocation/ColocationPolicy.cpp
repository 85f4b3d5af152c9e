#include "src/core/colocation/ColocationPolicy.h"

#include <algorithm>
#include <utility>

namespace foxtailbarrow {

namespace {

constexpr double kQuantile = 0.95;
constexpr double kHalf = 0.5;

Duration TailOf(const LatencyWindow& aWindow)
{
  Duration tail{};
  for (const ServiceHistogram& level : aWindow.mLevels) {
    tail = std::max(tail, level.Quantile(kQuantile));
  }
  return tail;
}

void ThrottleAll(StaticThreshold& aPolicy, double aFraction)
{
  aPolicy.mThrottled = aFraction < 1.0;
  for (const ColocatedTask& task : aPolicy.mTasks) {
    aPolicy.mPending.emplace_back(ThrottleBatch{ task.mKey, aFraction });
  }
}

void EvictLargest(StaticThreshold& aPolicy)
{
  const auto largest = std::max_element(
    aPolicy.mTasks.begin(),
    aPolicy.mTasks.end(),
    [](const ColocatedTask& aLeft, const ColocatedTask& aRight) {
      return aLeft.mReserved * (aLeft.mEvictable ? 1 : 0) <
             aRight.mReserved * (aRight.mEvictable ? 1 : 0);
    });
  if (largest != aPolicy.mTasks.end() && largest->mEvictable) {
    aPolicy.mPending.emplace_back(EvictBatch{ largest->mKey });
  }
}

void Update(StaticThreshold& aPolicy, const LatencyWindow& aWindow)
{
  if (TailOf(aWindow) <= aPolicy.mLatency) {
    aPolicy.mBadInRow = 0;
    if (aPolicy.mThrottled) {
      ThrottleAll(aPolicy, 1.0);
    }
    return;
  }
  if (++aPolicy.mBadInRow < aPolicy.mBadWindows) {
    return;
  }
  aPolicy.mBadInRow = 0;
  if (aPolicy.mThrottled) {
    EvictLargest(aPolicy);
  } else {
    ThrottleAll(aPolicy, kHalf);
  }
}

} // namespace

bool AdmitsTasks(const ColocationPolicy& aPolicy)
{
  return !std::holds_alternative<NoColocation>(aPolicy);
}

void SetTasks(ColocationPolicy& aPolicy,
              std::vector<ColocatedTask> aTasks,
              Instant aNow)
{
  if (auto* const guard = std::get_if<ColocationGuard>(&aPolicy)) {
    guard->SetTasks(std::move(aTasks), aNow);
  } else if (auto* const fixed = std::get_if<StaticThreshold>(&aPolicy)) {
    fixed->mTasks = std::move(aTasks);
  }
}

void OnUsage(ColocationPolicy& aPolicy,
             const TaskKey& aKey,
             double aUsed,
             Instant aTakenAt)
{
  if (auto* const guard = std::get_if<ColocationGuard>(&aPolicy)) {
    guard->OnUsage(aKey, aUsed, aTakenAt);
  }
}

void OnLatencies(ColocationPolicy& aPolicy, const LatencyWindow& aWindow)
{
  if (auto* const guard = std::get_if<ColocationGuard>(&aPolicy)) {
    guard->OnLatencies(aWindow);
  } else if (auto* const fixed = std::get_if<StaticThreshold>(&aPolicy)) {
    Update(*fixed, aWindow);
  }
}

std::vector<ColocationAction> Advance(ColocationPolicy& aPolicy, Instant aNow)
{
  std::vector<ColocationAction> actions;
  if (auto* const guard = std::get_if<ColocationGuard>(&aPolicy)) {
    actions = guard->Advance(aNow);
  } else if (auto* const fixed = std::get_if<StaticThreshold>(&aPolicy)) {
    actions.swap(fixed->mPending);
  }
  return actions;
}

} // namespace foxtailbarrow
