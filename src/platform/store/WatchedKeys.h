#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "foxtailbarrow/Store.h"

namespace foxtailbarrow {

/// Revisions of the keys under the prefix of a WatchFeed. Reduces listings and
/// events to new changes, so that a key never returns to an older revision.
/// Pure. Not synchronised.
class WatchedKeys
{
public:
  using Changes = std::vector<StoreEvent>;

  /// The changes from the known state to the listing, in revision order. A
  /// deletion that the listing reveals gets the listing's revision. nullopt
  /// when the listing is older than the known state.
  std::optional<Changes> Apply(const StoreListing& aListing);

  /// The events that are new.
  Changes Apply(const std::vector<StoreEvent>& aEvents);

  /// Latest revision known; 0 before the first listing.
  Revision LatestRevision() const { return mLatest; }

private:
  bool IsNew(const std::string& aKey, Revision aRevision) const;
  void AddDeletions(const StoreListing& aListing, Changes& aChanges) const;
  void UpdateRevisions(const Changes& aChanges);

  std::map<std::string, Revision> mRevisions;
  Revision mLatest = 0;
};

} // namespace foxtailbarrow
