#include "src/core/colocation/PlacementHistory.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace foxtailbarrow {

namespace {

bool IsSame(const ColocatedTask& aLeft, const ColocatedTask& aRight)
{
  return aLeft.mKey == aRight.mKey && aLeft.mFraction == aRight.mFraction;
}

} // namespace

PlacementHistory::PlacementHistory(Duration aRetention)
  : mRetention(aRetention)
{
}

void PlacementHistory::Set(std::vector<ColocatedTask> aTasks, Instant aNow)
{
  std::sort(aTasks.begin(),
            aTasks.end(),
            [](const ColocatedTask& aLeft, const ColocatedTask& aRight) {
              return aLeft.mKey < aRight.mKey;
            });
  const bool isSame =
    !mPlacements.empty() && std::equal(aTasks.begin(),
                                       aTasks.end(),
                                       mPlacements.back().mTasks.begin(),
                                       mPlacements.back().mTasks.end(),
                                       IsSame);
  if (!isSame) {
    mPlacements.push_back({ aNow, std::move(aTasks) });
  }
  while (mPlacements.size() > 1 && mPlacements[1].mFrom + mRetention < aNow) {
    mPlacements.pop_front();
  }
}

std::optional<double> PlacementHistory::AttributeUsage(const TaskKey& aKey,
                                                       double aUsed,
                                                       Instant aTakenAt)
{
  const auto after =
    std::upper_bound(mPlacements.begin(),
                     mPlacements.end(),
                     aTakenAt,
                     [](Instant aTime, const Placement& aPlacement) {
                       return aTime < aPlacement.mFrom;
                     });
  if (after == mPlacements.begin()) {
    return std::nullopt;
  }
  for (ColocatedTask& task : std::prev(after)->mTasks) {
    if (task.mKey == aKey) {
      task.mUsed = aUsed;
      return task.mFraction;
    }
  }
  return std::nullopt;
}

const Placement* PlacementHistory::Over(Instant aBegin, Instant aEnd) const
{
  const auto after =
    std::lower_bound(mPlacements.begin(),
                     mPlacements.end(),
                     aEnd,
                     [](const Placement& aPlacement, Instant aTime) {
                       return aPlacement.mFrom < aTime;
                     });
  if (after == mPlacements.begin()) {
    return nullptr;
  }
  const Placement& last = *std::prev(after);
  return last.mFrom <= aBegin ? &last : nullptr;
}

const Placement* PlacementHistory::Newest() const
{
  return mPlacements.empty() ? nullptr : &mPlacements.back();
}

} // namespace foxtailbarrow
