#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace foxtailbarrow::cell {

/// A set of indices, stored as ranges of consecutive ones. Its size depends on
/// the number of gaps and not on that of the members.
class IndexRanges
{
public:
  IndexRanges() = default;
  /// Inverse of Flat(). Ranges that are not valid are skipped.
  explicit IndexRanges(std::span<const std::int32_t> aFlat);

  void Insert(std::int32_t aIndex);
  bool Contains(std::int32_t aIndex) const;
  std::int64_t Count() const { return mCount; }
  bool Empty() const { return mCount == 0; }

  /// First and last index of each range, in ascending order.
  std::vector<std::int32_t> Flat() const;

private:
  std::map<std::int32_t, std::int32_t> mLastByFirst;
  std::int64_t mCount = 0;
};

} // namespace foxtailbarrow::cell
