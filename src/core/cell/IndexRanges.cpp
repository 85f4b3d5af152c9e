#include "src/core/cell/IndexRanges.h"

#include <iterator>

namespace foxtailbarrow::cell {

IndexRanges::IndexRanges(std::span<const std::int32_t> aFlat)
{
  std::int64_t next = 0;
  for (std::size_t i = 0; i + 1 < aFlat.size(); i += 2) {
    const std::int32_t first = aFlat[i];
    const std::int32_t last = aFlat[i + 1];
    if (first < next || last < first) {
      continue;
    }
    mLastByFirst.emplace_hint(mLastByFirst.end(), first, last);
    mCount += std::int64_t{ last } - first + 1;
    next = std::int64_t{ last } + 1;
  }
}

void IndexRanges::Insert(std::int32_t aIndex)
{
  if (Contains(aIndex)) {
    return;
  }
  ++mCount;
  std::int32_t last = aIndex;
  const auto after = mLastByFirst.upper_bound(aIndex);
  if (after != mLastByFirst.end() && after->first == aIndex + 1) {
    last = after->second;
    mLastByFirst.erase(after);
  }
  const auto next = mLastByFirst.upper_bound(aIndex);
  if (next != mLastByFirst.begin()) {
    const auto before = std::prev(next);
    if (before->second == aIndex - 1) {
      before->second = last;
      return;
    }
  }
  mLastByFirst.emplace(aIndex, last);
}

bool IndexRanges::Contains(std::int32_t aIndex) const
{
  const auto after = mLastByFirst.upper_bound(aIndex);
  return after != mLastByFirst.begin() && std::prev(after)->second >= aIndex;
}

std::vector<std::int32_t> IndexRanges::Flat() const
{
  std::vector<std::int32_t> flat;
  flat.reserve(2 * mLastByFirst.size());
  for (const auto& [first, last] : mLastByFirst) {
    flat.push_back(first);
    flat.push_back(last);
  }
  return flat;
}

} // namespace foxtailbarrow::cell
