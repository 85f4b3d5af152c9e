#include <gtest/gtest.h>

#include "src/core/cell/OwnerTerm.h"

namespace foxtailbarrow::cell::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Instant kStart{ seconds(100) };

TEST(OwnerTermTest, GrantsEndWithTheAuthority)
{
  const CellSettings settings;
  const OwnerTerm term(1, 10, kStart, settings);
  EXPECT_EQ(term.GrantAt(kStart), settings.mMaxTaskLease);
  EXPECT_EQ(term.GrantAt(kStart + settings.mOwnershipTimeout - milliseconds(1)),
            milliseconds(1));
  EXPECT_EQ(term.GrantAt(kStart + settings.mOwnershipTimeout),
            Duration::zero());
}

TEST(OwnerTermTest, IsSoleWhileItsKeyLasts)
{
  OwnerTerm term(1, 10, kStart, {});
  EXPECT_FALSE(term.IsSole(kStart));
  term.ExtendKey(kStart, seconds(2));
  EXPECT_TRUE(term.IsSole(kStart + milliseconds(1999)));
  EXPECT_FALSE(term.IsSole(kStart + seconds(2)));
  // An older call that is answered late shortens nothing.
  term.ExtendKey(kStart - seconds(1), seconds(2));
  EXPECT_TRUE(term.IsSole(kStart + milliseconds(1999)));
  // It may still grant leases.
  EXPECT_GT(term.GrantAt(kStart + seconds(2)), Duration::zero());
}

} // namespace

} // namespace foxtailbarrow::cell::test
