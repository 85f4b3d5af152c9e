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
  const auto rest = std::ranges::unique(all, {}, &Voter::mEntry);
  all.erase(rest.begin(), rest.end());
  return all;
}

} // namespace foxtailbarrow
