#include <gtest/gtest.h>

#include "src/platform/store/FaultInjector.h"
#include "src/platform/store/KeyValueTable.h"
#include "tests/store/NamedCase.h"

namespace foxtailbarrow {
namespace {

using namespace std::chrono_literals;

struct PrefixCase
{
  const char* mName;
  std::string mPrefix;
  std::string mKey;
  bool mContained;
};

class KeyRangePrefix : public testing::TestWithParam<PrefixCase>
{};

TEST_P(KeyRangePrefix, ContainsWhatStartsWithIt)
{
  const auto& [name, prefix, key, contained] = GetParam();
  EXPECT_EQ(KeyRange::Prefix(prefix).Contains(key), contained);
}

INSTANTIATE_TEST_SUITE_P(
  Prefixes,
  KeyRangePrefix,
  testing::Values(PrefixCase{ "Itself", "/a", "/a", true },
                  PrefixCase{ "LastChild", "/a", "/a\xff", true },
                  PrefixCase{ "Next", "/a", "/b", false },
                  PrefixCase{ "OtherCase", "/a", "/A", false },
                  PrefixCase{ "Empty", "", "anything", true },
                  PrefixCase{ "LastByte", "a\xff", "a\xff", true },
                  PrefixCase{ "AfterLastByte", "a\xff", "b", false },
                  PrefixCase{ "OnlyLastByte", "\xff", "\xff!", true }),
  kNameOfCase);

class Table : public testing::Test
{
protected:
  void Put(const std::string& aKey, const std::string& aValue)
  {
    ASSERT_TRUE(mTable.Commit({ {}, { { aKey, aValue, 0 } } }).ok());
  }

  KeyValueTable mTable{ { .mHistoryChanges = 4 } };
};

TEST_F(Table, ReadsAnEarlierRevision)
{
  Put("/a", "1");
  const Revision early = mTable.LatestRevision();
  Put("/a", "2");
  Put("/b", "1");
  ASSERT_TRUE(mTable.Commit({ {}, { { "/a", std::nullopt, 0 } } }).ok());
  const auto page = mTable.Range(KeyRange::Prefix("/"), 0, early);
  ASSERT_TRUE(page.ok()) << page.status();
  ASSERT_EQ(page->mEntries.size(), 1U);
  EXPECT_EQ(page->mEntries[0].mValue, "1");
  EXPECT_EQ(page->mRevision, mTable.LatestRevision());
}

TEST_F(Table, ReportsCompactedRevisions)
{
  const Revision early = mTable.LatestRevision();
  for (int change = 0; change < 5; ++change) {
    Put("/a", std::to_string(change));
  }
  const KeyRange all = KeyRange::Prefix("");
  EXPECT_TRUE(absl::IsOutOfRange(mTable.Range(all, 0, early).status()));
  EXPECT_TRUE(absl::IsOutOfRange(mTable.EventsAfter(all, early).status()));
  const auto events = mTable.EventsAfter(all, early + 1);
  ASSERT_TRUE(events.ok()) << events.status();
  EXPECT_EQ(events->size(), 4U);
}

TEST_F(Table, KeepsItsRevisionWhenNothingChanges)
{
  const Revision before = mTable.LatestRevision();
  ASSERT_TRUE(mTable.Commit({ {}, { { "/a", std::nullopt, 0 } } }).ok());
  EXPECT_EQ(mTable.LatestRevision(), before);
}

TEST(FaultInjector, RefillsItsRateLimitsOverTime)
{
  FaultInjector injector;
  Instant now{};
  injector.Set({ .mWritesPerSecond = 10 }, now);
  const auto takeAll = [&] {
    int taken = 0;
    while (injector.Decide(StoreCall::Commit, now) == FaultDecision::Proceed) {
      ++taken;
    }
    return taken;
  };
  EXPECT_EQ(takeAll(), 10);
  now += 500ms;
  EXPECT_EQ(takeAll(), 5);
  now += 1h;
  EXPECT_EQ(takeAll(), 10);
  EXPECT_EQ(injector.Decide(StoreCall::Read, now), FaultDecision::Proceed);
}

} // namespace
} // namespace foxtailbarrow
