#include <gtest/gtest.h>

#include "foxtailbarrow/Store.h"
#include "platform/KvCodec.h"

namespace foxtailbarrow::platform::test {

namespace {

TEST(WatchStart, IsTheStoresRevisionAndNotTheEntrys)
{
  const auto entry = ParseEntry(
    R"({"Key":"k","Value":"","Revision":4,"Created":4,"CurrentRev":900})");
  ASSERT_TRUE(entry.ok());
  EXPECT_EQ(WatchStart(*entry), 900);
}

TEST(WatchStart, IsTheEntrysWhenTheStoreReportsNone)
{
  EXPECT_EQ(WatchStart({ .mKey = "k", .mValue = "", .mModRevision = 4 }), 4);
}

} // namespace

} // namespace foxtailbarrow::platform::test
