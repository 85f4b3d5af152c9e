#include "src/core/cell/workers/CordonTable.h"

#include <algorithm>

namespace foxtailbarrow::cell {

std::vector<DomainCordon> CordonTable::Merge(
  std::span<const DomainCordon> aRows)
{
  std::vector<DomainCordon> changed;
  for (const DomainCordon& row : aRows) {
    DomainCordon& known = mRows[row.mDomain];
    if (row.mRevision <= known.mRevision) {
      continue;
    }
    if (row.mCordoned != known.mCordoned) {
      changed.push_back(row);
    }
    known = row;
  }
  return changed;
}

std::vector<DomainCordon> CordonTable::MergeListing(
  std::span<const DomainCordon> aListed,
  Revision aListedAt)
{
  std::vector<DomainCordon> rows(aListed.begin(), aListed.end());
  for (const auto& [domain, known] : mRows) {
    if (std::ranges::find(aListed, domain, &DomainCordon::mDomain) ==
        aListed.end()) {
      rows.push_back({ domain, false, aListedAt });
    }
  }
  return Merge(rows);
}

std::set<FailureDomainId> CordonTable::Cordoned() const
{
  std::set<FailureDomainId> cordoned;
  for (const auto& [domain, row] : mRows) {
    if (row.mCordoned) {
      cordoned.insert(domain);
    }
  }
  return cordoned;
}

std::vector<DomainCordon> CordonTable::Rows() const
{
  std::vector<DomainCordon> rows;
  for (const auto& [domain, row] : mRows) {
    rows.push_back(row);
  }
  return rows;
}

} // namespace foxtailbarrow::cell
