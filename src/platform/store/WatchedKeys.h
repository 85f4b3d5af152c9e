#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "foxtailbarrow/Store.h"

namespace foxtailbarrow {

/// What a feed knows of the keys under its prefix. Turns listings and events
/// into the changes that are new, so that a key never goes back to an older
/// revision. Pure. Not synchronised.
class WatchedKeys
{
public:
  using Changes = std::vector<StoreEvent>;

  /// The changes that lead from what is known to the listing, in revision
  /// order; a deletion noticed only now bears the listing's revision. nullopt
  /// when the listing is older than what is known.
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
