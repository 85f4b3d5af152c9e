#include <map>
#include <mutex>
#include <random>
#include <thread>

#include <gtest/gtest.h>

#include "src/platform/store/MemoryStore.h"
#include "src/platform/store/WatchFeed.h"
#include "tests/store/NamedCase.h"
#include "tests/store/StoreHarness.h"

namespace foxtailbarrow {
namespace {

using namespace std::chrono_literals;

struct Step
{
  bool mListing;
  Revision mRevision; ///< Of the listing.
  std::vector<StoreEvent> mKeys;
  std::optional<std::vector<Revision>> mNew; ///< Revisions delivered.
};

struct StepsCase
{
  const char* mName;
  std::vector<Step> mSteps;
};

class WatchedKeysSteps : public testing::TestWithParam<StepsCase>
{};

TEST_P(WatchedKeysSteps, ReturnOnlyNewChanges)
{
  WatchedKeys keys;
  for (const Step& step : GetParam().mSteps) {
    StoreListing listing{ {}, step.mRevision };
    for (const StoreEvent& key : step.mKeys) {
      listing.mEntries.push_back(
        { key.mKey, key.mValue.value_or(""), key.mModRevision, 0 });
    }
    const auto changes =
      step.mListing ? keys.Apply(listing) : keys.Apply(step.mKeys);
    ASSERT_EQ(changes.has_value(), step.mNew.has_value());
    std::vector<Revision> revisions;
    for (const StoreEvent& change : changes.value_or(WatchedKeys::Changes())) {
      revisions.push_back(change.mModRevision);
    }
    EXPECT_EQ(revisions, step.mNew.value_or(std::vector<Revision>()));
  }
}

const Step kFirst{ true,
                   5,
                   { { "/a", "1", 4 }, { "/b", "1", 2 } },
                   { { 2, 4 } } };

INSTANTIATE_TEST_SUITE_P(
  Steps,
  WatchedKeysSteps,
  testing::Values(
    StepsCase{ "ListingInOrderOfRevisions", { kFirst } },
    StepsCase{ "SameListingTwice",
               { kFirst, { true, 5, kFirst.mKeys, { {} } } } },
    StepsCase{ "OlderListing", { kFirst, { true, 4, {}, std::nullopt } } },
    StepsCase{ "DeletionFoundByListing",
               { kFirst, { true, 9, { { "/a", "1", 4 } }, { { 9 } } } } },
    StepsCase{
      "EventsKnownAlready",
      { kFirst,
        { false, 0, { { "/a", "1", 4 }, { "/a", "2", 6 } }, { { 6 } } },
        { true, 6, { { "/a", "2", 6 }, { "/b", "1", 2 } }, { {} } } } },
    StepsCase{ "DeletionByEvent",
               { kFirst,
                 { false, 0, { { "/a", std::nullopt, 7 } }, { { 7 } } },
                 { true, 7, { { "/b", "1", 2 } }, { {} } } } }),
  kNameOfCase);

class FeedOverAStore : public testing::Test
{
protected:
  void Put(const std::string& aKey, std::optional<std::string> aValue)
  {
    ASSERT_TRUE(mStore.Commit({ {}, { { aKey, std::move(aValue), 0 } } }).ok());
  }

  void Receive(const std::vector<StoreEvent>& aChanges)
  {
    const std::lock_guard lock(mMutex);
    for (const StoreEvent& change : aChanges) {
      // One transaction changes several keys at the same revision.
      EXPECT_GE(change.mModRevision, mLatest);
      EXPECT_GT(change.mModRevision, mRevisions[change.mKey]);
      mRevisions[change.mKey] = change.mModRevision;
      mLatest = change.mModRevision;
      mReceived[change.mKey] = change.mValue.value_or("(deleted)");
    }
  }

  bool EventuallyReceived(const std::map<std::string, std::string>& aExpected)
  {
    return Eventually([&] {
      const std::lock_guard lock(mMutex);
      return mReceived == aExpected;
    });
  }

  MemoryStore mStore;
  std::mutex mMutex;
  Revision mLatest = 0;
  std::map<std::string, Revision> mRevisions;
  std::map<std::string, std::string> mReceived;
  WatchFeed mFeed{ mStore,
                   "/c/",
                   [this](const auto& aChanges) { Receive(aChanges); },
                   { 1ms, 20ms } };
};

TEST_F(FeedOverAStore, RecoversFromAnOutageAndReportsItsStaleness)
{
  Put("/c/a", "1");
  EXPECT_EQ(mFeed.Staleness(MonotonicNow()), std::nullopt);
  std::jthread thread([this] {
    std::mt19937 random(1);
    mFeed.Run(random);
  });
  EXPECT_TRUE(EventuallyReceived({ { "/c/a", "1" } }));
  Put("/c/b", "2");
  Put("/other", "x");
  EXPECT_TRUE(EventuallyReceived({ { "/c/a", "1" }, { "/c/b", "2" } }));
  EXPECT_EQ(mFeed.Staleness(MonotonicNow() + 1h), Duration::zero());
  mStore.SetFaults({ .mOutage = true });
  EXPECT_TRUE(
    Eventually([&] { return mFeed.Staleness(MonotonicNow() + 1h) > 1h; }));
  EXPECT_TRUE(EventuallyReceived({ { "/c/a", "1" }, { "/c/b", "2" } }));
  mStore.SetFaults({});
  Put("/c/a", std::nullopt);
  Put("/c/b", "3");
  EXPECT_TRUE(EventuallyReceived({ { "/c/a", "(deleted)" }, { "/c/b", "3" } }));
  EXPECT_GE(mFeed.Counters().mBreaks, 1U);
  mFeed.Stop();
  mStore.Close();
}

TEST(Backoff, GrowsToItsMaximumAndResets)
{
  std::mt19937 random(7);
  Backoff backoff({ 10ms, 1s });
  Duration longest{};
  for (int attempt = 0; attempt < 200; ++attempt) {
    const Duration wait = backoff.Next(random);
    EXPECT_GE(wait, Duration(10ms));
    EXPECT_LE(wait, Duration(1s));
    longest = std::max(longest, wait);
  }
  EXPECT_GT(longest, Duration(500ms));
  backoff.Reset();
  EXPECT_LE(backoff.Next(random), Duration(20ms));
}

} // namespace
} // namespace foxtailbarrow
