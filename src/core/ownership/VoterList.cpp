#include "src/core/ownership/VoterList.h"

#include <algorithm>

namespace foxtailbarrow {

std::size_t MajorityOf(const Voters& aVoters)
{
  return aVoters.size() / 2 + 1;
}

Voters Union(std::span<const Voters> aLists)
{
  Voters all;
  for (const Voters& list : aLists) {
    all.insert(all.end(), list.begin(), list.end());
  }
  std::ranges::stable_sort(all, {}, &Voter::mEntry);
  const auto sameEntry = [](const Voter& aLeft, const Voter& aRight) {
    return aLeft.mEntry == aRight.mEntry;
  };
  all.erase(std::unique(all.begin(), all.end(), sameEntry), all.end());
  return all;
}

} // namespace foxtailbarrow
