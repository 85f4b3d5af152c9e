#include "src/core/agent/RefusedAssignments.h"

#include <algorithm>

namespace foxtailbarrow {

RefusedAssignments::RefusedAssignments(std::size_t aMaxEntries,
                                       Duration aRetention)
  : mMaxEntries(aMaxEntries)
  , mRetention(aRetention)
{
}

void RefusedAssignments::Remember(const TaskKey& aKey,
                                  Reason aReason,
                                  std::uint64_t aSequence,
                                  Instant aNow)
{
  while (!mQueue.empty() && (mQueue.size() >= mMaxEntries ||
                             mQueue.front().mAt + mRetention <= aNow)) {
    DropOldest();
  }
  Refusal& highest = mHighest[aKey.mJob];
  if (aKey.mEpoch > highest.mEpoch) {
    highest = { aKey.mEpoch, aReason };
    mQueue.push_back({ aKey, aSequence, aNow });
  }
}

std::optional<Reason> RefusedAssignments::Find(const TaskKey& aKey) const
{
  const auto highest = mHighest.find(aKey.mJob);
  if (highest == mHighest.end() || aKey.mEpoch > highest->second.mEpoch) {
    return std::nullopt;
  }
  return aKey.mEpoch == highest->second.mEpoch ? highest->second.mReason
                                               : Reason::StaleEpoch;
}

void RefusedAssignments::DropOldest()
{
  const Queued& oldest = mQueue.front();
  mFloor = std::max(mFloor, oldest.mSequence);
  if (const auto highest = mHighest.find(oldest.mKey.mJob);
      highest != mHighest.end() &&
      highest->second.mEpoch == oldest.mKey.mEpoch) {
    mHighest.erase(highest);
  }
  mQueue.pop_front();
}

} // namespace foxtailbarrow
