#include <chrono>
#include <string>

#include <gtest/gtest.h>

#include "foxtailbarrow/Verdict.h"
#include "tests/store/NamedCase.h"
#include "tests/store/StoreHarness.h"

namespace foxtailbarrow {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kMegabyte = 1024 * 1024;

struct StoreCase
{
  const char* mName;
  HarnessFactory mMake;
};

class StoreConformance : public testing::TestWithParam<StoreCase>
{
protected:
  absl::StatusOr<StoreTransactionResult> Put(std::string aKey,
                                             std::string aValue,
                                             Revision aExpected = 0,
                                             StoreLease aLease = 0)
  {
    return mStore.Commit(
      { { { aKey, aExpected } }, { { aKey, std::move(aValue), aLease } } });
  }

  std::unique_ptr<StoreHarness> mHarness = GetParam().mMake();
  Store& mStore = mHarness->Client();
};

TEST_P(StoreConformance, ReadsWhatWasCommitted)
{
  mHarness->Run([&] {
    const auto written = Put("/a", "one");
    ASSERT_TRUE(written.ok()) << written.status();
    EXPECT_TRUE(written->mApplied);
    const auto entry = mStore.Read("/a");
    ASSERT_TRUE(entry.ok()) << entry.status();
    EXPECT_EQ(entry->mKey, "/a");
    EXPECT_EQ(entry->mValue, "one");
    EXPECT_EQ(entry->mModRevision, written->mRevision);
    EXPECT_EQ(entry->mLease, 0);
  });
}

TEST_P(StoreConformance, ReportsAMissingKey)
{
  mHarness->Run([&] {
    const auto entry = mStore.Read("/none");
    EXPECT_TRUE(absl::IsNotFound(entry.status()));
    EXPECT_EQ(VerdictOf(entry.status()), Verdict::NotRun);
  });
}

TEST_P(StoreConformance, KeepsBinaryKeysAndValues)
{
  mHarness->Run([&] {
    std::string bytes;
    for (int byte = 0; byte < 256; ++byte) {
      bytes.push_back(static_cast<char>(byte));
    }
    for (const std::string& value : { std::string(), bytes }) {
      const std::string key = "/binary\xff\x01" + value;
      ASSERT_TRUE(Put(key, value).ok());
      const auto entry = mStore.Read(key);
      ASSERT_TRUE(entry.ok()) << entry.status();
      EXPECT_EQ(entry->mKey, key);
      EXPECT_EQ(entry->mValue, value);
    }
  });
}

TEST_P(StoreConformance, AcceptsAMegabyteAndRefusesMore)
{
  mHarness->Run([&] {
    const std::string most(kMegabyte, 'x');
    ASSERT_TRUE(Put("/most", most).ok());
    EXPECT_EQ(mStore.Read("/most")->mValue, most);
    const auto refused = Put("/more", most + "x");
    EXPECT_TRUE(absl::IsInvalidArgument(refused.status())) << refused.status();
    EXPECT_EQ(VerdictOf(refused.status()), Verdict::NotRun);
    EXPECT_TRUE(absl::IsNotFound(mStore.Read("/more").status()));
  });
}

TEST_P(StoreConformance, ListsByPrefixInOrderOfKeysAsOfOneRevision)
{
  mHarness->Run([&] {
    constexpr int kKeys = 2500;
    for (int key = kKeys - 1; key >= 0; --key) {
      char name[16];
      std::snprintf(name, sizeof name, "/p/%05d", key);
      ASSERT_TRUE(Put(name, std::to_string(key)).ok());
    }
    ASSERT_TRUE(Put("/q", "outside").ok());
    const auto listing = mStore.List("/p/");
    ASSERT_TRUE(listing.ok()) << listing.status();
    ASSERT_EQ(listing->mEntries.size(), kKeys);
    for (int key = 0; key < kKeys; ++key) {
      EXPECT_EQ(listing->mEntries[key].mValue, std::to_string(key));
    }
    EXPECT_GE(listing->mRevision, listing->mEntries.front().mModRevision);
  });
}

TEST_P(StoreConformance, AppliesTransactionsAtomically)
{
  mHarness->Run([&] {
    const Revision first = Put("/x", "1")->mRevision;
    const StoreTransaction stale{ { { "/x", first }, { "/y", 7 } },
                                  { { "/x", "2", 0 }, { "/z", "2", 0 } } };
    const auto failed = mStore.Commit(stale);
    ASSERT_TRUE(failed.ok()) << failed.status();
    EXPECT_FALSE(failed->mApplied);
    EXPECT_EQ(mStore.Read("/x")->mValue, "1");
    const StoreTransaction good{ { { "/x", first }, { "/y", 0 } },
                                 { { "/x", std::nullopt, 0 },
                                   { "/z", "2", 0 } } };
    const auto applied = mStore.Commit(good);
    ASSERT_TRUE(applied.ok()) << applied.status();
    EXPECT_TRUE(applied->mApplied);
    EXPECT_TRUE(absl::IsNotFound(mStore.Read("/x").status()));
    EXPECT_EQ(mStore.Read("/z")->mModRevision, applied->mRevision);
  });
}

TEST_P(StoreConformance, RefusesTransactionsThatAreNotValid)
{
  mHarness->Run([&] {
    StoreTransaction large;
    for (int key = 0; key < 129; ++key) {
      large.mWrites.push_back({ std::to_string(key), "", 0 });
    }
    const StoreTransaction twice{ {}, { { "/k", "1", 0 }, { "/k", "2", 0 } } };
    const StoreTransaction unnamed{ {}, { { "", "1", 0 } } };
    for (const StoreTransaction& bad : { large, twice, unnamed }) {
      const auto result = mStore.Commit(bad);
      EXPECT_TRUE(absl::IsInvalidArgument(result.status())) << result.status();
      EXPECT_EQ(VerdictOf(result.status()), Verdict::NotRun);
    }
    EXPECT_TRUE(mStore.List("")->mEntries.empty());
  });
}

TEST_P(StoreConformance, AppliesOneOfManyConcurrentCreations)
{
  std::atomic<int> applied = 0;
  std::atomic<int> ended = 0;
  constexpr int kWriters = 8;
  mHarness->Run([&] {
    for (int writer = 0; writer < kWriters; ++writer) {
      mHarness->RunConcurrently([&, writer] {
        const auto result = Put("/race", std::to_string(writer));
        applied += result.ok() && result->mApplied ? 1 : 0;
        ++ended;
      });
    }
    EXPECT_TRUE(Eventually([&] { return ended == kWriters; }));
  });
  EXPECT_EQ(applied, 1);
}

TEST_P(StoreConformance, DeletesTheKeysOfAnExpiredLease)
{
  mHarness->Run([&] {
    const auto lease = mStore.GrantLease(5s);
    ASSERT_TRUE(lease.ok()) << lease.status();
    ASSERT_TRUE(Put("/held", "v", 0, *lease).ok());
    EXPECT_EQ(mStore.Read("/held")->mLease, *lease);
    mHarness->Advance(4s);
    const auto renewed = mStore.KeepAlive(*lease);
    ASSERT_TRUE(renewed.ok()) << renewed.status();
    EXPECT_EQ(*renewed, Duration(5s));
    mHarness->Advance(4s);
    EXPECT_TRUE(mStore.Read("/held").ok());
    mHarness->Advance(2s);
    EXPECT_TRUE(absl::IsNotFound(mStore.Read("/held").status()));
    EXPECT_TRUE(absl::IsNotFound(mStore.KeepAlive(*lease).status()));
    const auto late = Put("/late", "v", 0, *lease);
    EXPECT_TRUE(absl::IsNotFound(late.status())) << late.status();
    EXPECT_EQ(VerdictOf(late.status()), Verdict::NotRun);
  });
}

TEST_P(StoreConformance, RevokesALeaseAtOnce)
{
  mHarness->Run([&] {
    const StoreLease lease = mStore.GrantLease(60s).value();
    ASSERT_TRUE(Put("/held", "v", 0, lease).ok());
    ASSERT_TRUE(Put("/moved", "v", 0, lease).ok());
    const Revision held = mStore.Read("/moved")->mModRevision;
    ASSERT_TRUE(Put("/moved", "v", held).ok());
    EXPECT_TRUE(mStore.RevokeLease(lease).ok());
    EXPECT_TRUE(absl::IsNotFound(mStore.RevokeLease(lease)));
    EXPECT_TRUE(absl::IsNotFound(mStore.Read("/held").status()));
    EXPECT_TRUE(mStore.Read("/moved").ok());
  });
}

TEST_P(StoreConformance, WatchesInOrderFromARevision)
{
  std::vector<StoreEvent> received;
  std::atomic<bool> ended = false;
  mHarness->Run([&] {
    const Revision start = Put("/w/a", "0")->mRevision;
    const Revision second = Put("/w/a", "1", start)->mRevision;
    ASSERT_TRUE(Put("/other", "x").ok());
    mHarness->RunConcurrently([&, start] {
      const auto collect = [&](const std::vector<StoreEvent>& aEvents) {
        received.insert(received.end(), aEvents.begin(), aEvents.end());
        return received.size() < 4;
      };
      EXPECT_TRUE(mStore.Watch("/w/", start, collect).ok());
      ended = true;
    });
    EXPECT_TRUE(Eventually([&] { return mHarness->Calls(StoreCall::Watch); }));
    const StoreLease lease = mStore.GrantLease(5s).value();
    ASSERT_TRUE(Put("/w/b", "2", 0, lease).ok());
    const StoreWrite remove{ "/w/a", std::nullopt, 0 };
    ASSERT_TRUE(mStore.Commit({ { { "/w/a", second } }, { remove } }).ok());
    mHarness->Advance(6s);
    EXPECT_TRUE(Eventually([&] { return ended.load(); }));
  });
  ASSERT_EQ(received.size(), 4U);
  EXPECT_EQ(received[0].mValue, "1");
  EXPECT_EQ(received[1].mValue, "2");
  EXPECT_EQ(received[2].mKey, "/w/a");
  EXPECT_EQ(received[2].mValue, std::nullopt);
  EXPECT_EQ(received[3].mKey, "/w/b");
  EXPECT_EQ(received[3].mValue, std::nullopt);
  for (std::size_t event = 1; event < received.size(); ++event) {
    EXPECT_GT(received[event].mModRevision, received[event - 1].mModRevision);
  }
}

TEST_P(StoreConformance, BreaksWatchesInAnOutage)
{
  std::atomic<bool> open = false;
  std::atomic<bool> broken = false;
  mHarness->Run([&] {
    mHarness->RunConcurrently([&] {
      const auto endless = [&](const std::vector<StoreEvent>&) {
        return open = true;
      };
      EXPECT_TRUE(absl::IsUnavailable(mStore.Watch("/", 0, endless)));
      broken = true;
    });
    ASSERT_TRUE(Put("/first", "v").ok());
    EXPECT_TRUE(Eventually([&] { return open.load(); }));
    mHarness->SetFaults({ .mOutage = true });
    EXPECT_TRUE(Eventually([&] { return broken.load(); }));
    EXPECT_TRUE(absl::IsUnavailable(mStore.Read("/a").status()));
    EXPECT_EQ(VerdictOf(mStore.Read("/a").status()), Verdict::NotRun);
    EXPECT_FALSE(Put("/a", "lost").ok());
    mHarness->SetFaults({});
    EXPECT_TRUE(absl::IsNotFound(mStore.Read("/a").status()));
  });
}

TEST_P(StoreConformance, DistinguishesALostReplyFromARefusal)
{
  mHarness->Run([&] {
    mHarness->SetFaults({ .mLoseReplies = 1 });
    const auto lost = Put("/a", "applied");
    ASSERT_FALSE(lost.ok());
    EXPECT_EQ(VerdictOf(lost.status()), Verdict::MayHaveRun);
    EXPECT_EQ(mStore.Read("/a")->mValue, "applied");
    EXPECT_TRUE(Put("/b", "answered").ok());
  });
}

TEST_P(StoreConformance, RefusesCallsOverTheRateLimits)
{
  mHarness->Run([&] {
    mHarness->SetFaults({ .mWritesPerSecond = 2, .mReadsPerSecond = 3 });
    absl::Status refused;
    for (int write = 0; refused.ok() && write < 1000; ++write) {
      refused = Put("/w" + std::to_string(write), "v").status();
    }
    EXPECT_TRUE(absl::IsResourceExhausted(refused)) << refused;
    EXPECT_EQ(VerdictOf(refused), Verdict::NotRun);
    absl::Status read;
    for (int count = 0; !absl::IsResourceExhausted(read) && count < 1000;
         ++count) {
      read = mStore.List("/").status();
    }
    EXPECT_TRUE(absl::IsResourceExhausted(read)) << read;
  });
}

INSTANTIATE_TEST_SUITE_P(Stores,
                         StoreConformance,
                         testing::Values(StoreCase{ "Memory",
                                                    MakeMemoryHarness },
                                         StoreCase{ "Etcd", MakeEtcdHarness }),
                         kNameOfCase);

} // namespace
} // namespace foxtailbarrow
