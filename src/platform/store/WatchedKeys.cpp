#include "src/platform/store/WatchedKeys.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace foxtailbarrow {

bool WatchedKeys::IsNew(const std::string& aKey, Revision aRevision) const
{
  const auto known = mRevisions.find(aKey);
  return known == mRevisions.end() || aRevision > known->second;
}

void WatchedKeys::AddDeletions(const StoreListing& aListing,
                               Changes& aChanges) const
{
  std::set<std::string_view> listed;
  for (const StoreEntry& entry : aListing.mEntries) {
    listed.insert(entry.mKey);
  }
  for (const auto& [key, revision] : mRevisions) {
    if (!listed.contains(key)) {
      aChanges.push_back({ key, std::nullopt, aListing.mRevision });
    }
  }
}

void WatchedKeys::UpdateRevisions(const Changes& aChanges)
{
  for (const StoreEvent& change : aChanges) {
    if (change.mValue) {
      mRevisions[change.mKey] = change.mModRevision;
    } else {
      mRevisions.erase(change.mKey);
    }
    mLatest = std::max(mLatest, change.mModRevision);
  }
}

std::optional<WatchedKeys::Changes> WatchedKeys::Apply(
  const StoreListing& aListing)
{
  if (aListing.mRevision < mLatest) {
    return std::nullopt;
  }
  Changes changes;
  for (const StoreEntry& entry : aListing.mEntries) {
    if (IsNew(entry.mKey, entry.mModRevision)) {
      changes.push_back({ entry.mKey, entry.mValue, entry.mModRevision });
    }
  }
  AddDeletions(aListing, changes);
  std::stable_sort(changes.begin(),
                   changes.end(),
                   [](const StoreEvent& aLeft, const StoreEvent& aRight) {
                     return aLeft.mModRevision < aRight.mModRevision;
                   });
  UpdateRevisions(changes);
  mLatest = aListing.mRevision;
  return changes;
}

WatchedKeys::Changes WatchedKeys::Apply(const std::vector<StoreEvent>& aEvents)
{
  Changes changes;
  for (const StoreEvent& event : aEvents) {
    if (event.mModRevision > mLatest) {
      changes.push_back(event);
    }
  }
  UpdateRevisions(changes);
  return changes;
}

} // namespace foxtailbarrow
