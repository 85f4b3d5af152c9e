#include "src/core/cell/IndexRanges.h"

#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace foxtailbarrow::cell {
namespace {

/// Guards against an occurrence that is forgotten, or done twice, because the
/// compact set of done ones differs from a plain one.
RC_GTEST_PROP(IndexRangesTest, EqualsAPlainSet, ())
{
  const auto indices =
    *rc::gen::container<std::vector<std::int32_t>>(rc::gen::inRange(0, 40));
  IndexRanges ranges;
  std::set<std::int32_t> plain;
  for (const std::int32_t index : indices) {
    ranges.Insert(index);
    plain.insert(index);
  }
  const std::vector<std::int32_t> flat = ranges.Flat();
  const IndexRanges read(flat);
  for (std::int32_t index = -1; index <= 40; ++index) {
    RC_ASSERT(ranges.Contains(index) == plain.contains(index));
    RC_ASSERT(read.Contains(index) == plain.contains(index));
  }
  RC_ASSERT(ranges.Count() == static_cast<std::int64_t>(plain.size()));
  RC_ASSERT(read.Flat() == flat);
}

TEST(IndexRangesTest, SkipsInvalidRanges)
{
  const std::vector<std::int32_t> flat = { 0, 2, 1, 5, 9, 7, 10, 10, 12 };
  EXPECT_EQ(IndexRanges(flat).Flat(),
            (std::vector<std::int32_t>{ 0, 2, 10, 10 }));
}

} // namespace
} // namespace foxtailbarrow::cell
