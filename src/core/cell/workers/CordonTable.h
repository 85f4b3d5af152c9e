#pragma once

#include <map>
#include <set>
#include <span>
#include <vector>

#include "foxtailbarrow/Contract.h"
#include "foxtailbarrow/Id.h"

namespace foxtailbarrow::cell {

/// Whether the operator allows starts in a failure domain, as of one revision
/// of the store.
struct DomainCordon
{
  FailureDomainId mDomain;
  bool mCordoned = false;
  Revision mRevision = 0;

  bool operator==(const DomainCordon&) const = default;
};

/// `cell.cordons`: scheduler to owner. The store may refuse the owner while it
/// serves the other schedulers.
struct CordonRows
{
  std::vector<DomainCordon> mRows;
};

struct CordonRowsReply
{
  bool mOwner = false; ///< The answering process owns the cell.
};

/// Failure domains in which the operator wants no task started. Merges what
/// the store's listings and watches and other schedulers tell, in any order and
/// any number of times: for each domain the highest revision counts. Pure.
class CordonTable
{
public:
  /// Returns the rows that set or removed a cordon.
  std::vector<DomainCordon> Merge(std::span<const DomainCordon> aRows);
  /// `aListed`: all cordons that the store held at the revision `aListedAt`.
  /// Known ones that it lacks have been removed.
  std::vector<DomainCordon> MergeListing(std::span<const DomainCordon> aListed,
                                         Revision aListedAt);

  std::set<FailureDomainId> Cordoned() const;
  /// Every known row, removed cordons included.
  std::vector<DomainCordon> Rows() const;

private:
  std::map<FailureDomainId, DomainCordon> mRows;
};

} // namespace foxtailbarrow::cell
