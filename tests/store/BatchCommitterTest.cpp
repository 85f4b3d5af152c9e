#include <numeric>
#include <set>
#include <string>

#include <gtest/gtest.h>

#include "foxtailbarrow/Verdict.h"
#include "src/platform/store/BatchCommitter.h"
#include "src/platform/store/MemoryStore.h"
#include "tests/store/NamedCase.h"

namespace foxtailbarrow {
namespace {

RecordWrite Record(const std::string& aKey,
                   const std::string& aValue,
                   Revision aExpected = 0)
{
  return { { aKey, aValue, 0 }, aExpected, std::nullopt };
}

class Committer : public testing::Test
{
protected:
  Revision Seed(const std::string& aKey)
  {
    return mStore.Commit({ {}, { { aKey, "seed", 0 } } })->mRevision;
  }

  std::string ValueOf(const std::string& aKey)
  {
    const auto entry = mStore.Read(aKey);
    return entry.ok() ? entry->mValue : "(none)";
  }

  MemoryStore mStore;
  BatchCounters mCounters;
  BatchCommitter mCommitter{ mStore, mCounters };
};

struct BisectCase
{
  const char* mName;
  std::size_t mWrites;
  std::set<std::size_t> mBad;
  std::uint64_t mMostCommits;
};

class CommitterBisect
  : public Committer
  , public testing::WithParamInterface<BisectCase>
{};

TEST_P(CommitterBisect, AppliesAllButTheBadOnes)
{
  const auto& [name, writes, bad, mostCommits] = GetParam();
  std::vector<RecordWrite> records;
  for (std::size_t index = 0; index < writes; ++index) {
    const std::string key = "/" + std::to_string(index);
    if (bad.contains(index)) {
      Seed(key);
    }
    records.push_back(Record(key, "new"));
  }
  const auto outcomes = mCommitter.CommitAll(records);
  ASSERT_EQ(outcomes.size(), writes);
  for (std::size_t index = 0; index < writes; ++index) {
    const absl::Status status = outcomes[index].status();
    const bool isBad = bad.contains(index);
    EXPECT_EQ(absl::IsAborted(status), isBad) << index << ": " << status;
    EXPECT_EQ(VerdictOf(status), isBad ? Verdict::NotRun : Verdict::Ran);
    EXPECT_EQ(ValueOf(records[index].mWrite.mKey), isBad ? "seed" : "new");
  }
  EXPECT_LE(mCounters.mCommits, mostCommits);
}

INSTANTIATE_TEST_SUITE_P(
  Batches,
  CommitterBisect,
  testing::Values(BisectCase{ "One", 1, {}, 1 },
                  BisectCase{ "OneBad", 1, { 0 }, 1 },
                  BisectCase{ "Whole", 128, {}, 1 },
                  BisectCase{ "FirstBad", 128, { 0 }, 15 },
                  BisectCase{ "LastBad", 128, { 127 }, 15 },
                  BisectCase{ "TwoBad", 127, { 3, 99 }, 28 },
                  BisectCase{ "AllBad", 5, { 0, 1, 2, 3, 4 }, 9 }),
  kNameOfCase);

TEST_F(Committer, FailsAllRecordsUnderABrokenGuardWithoutBisecting)
{
  const StoreCompare held{ "/held", Seed("/held") };
  const StoreCompare broken{ "/broken", Seed("/broken") };
  Seed("/broken");
  std::vector<RecordWrite> records;
  for (int index = 0; index < 100; ++index) {
    records.push_back(Record("/r/" + std::to_string(index), "new"));
    records.back().mGuard = index % 2 == 0 ? held : broken;
  }
  const auto outcomes = mCommitter.CommitAll(records);
  for (int index = 0; index < 100; ++index) {
    const absl::Status status = outcomes[index].status();
    EXPECT_EQ(status.ok(), index % 2 == 0) << status;
    EXPECT_EQ(absl::IsFailedPrecondition(status), index % 2 == 1);
  }
  EXPECT_EQ(mCounters.mCommits, 2U);
}

TEST_F(Committer, IsolatesARecordWithAnExpiredLease)
{
  std::vector<RecordWrite> records = { Record("/a", "1"), Record("/b", "2") };
  records[0].mWrite.mLease = 99;
  const auto outcomes = mCommitter.CommitAll(records);
  EXPECT_TRUE(absl::IsNotFound(outcomes[0].status()));
  EXPECT_TRUE(outcomes[1].ok());
}

TEST_F(Committer, ResolvesALostReplyByReadingBack)
{
  const std::vector<RecordWrite> records = { Record("/a", "1"),
                                             Record("/b", "2") };
  mStore.SetFaults({ .mLoseReplies = 1 });
  const auto outcomes = mCommitter.CommitAll(records);
  ASSERT_TRUE(outcomes[0].ok()) << outcomes[0].status();
  EXPECT_EQ(*outcomes[0], mStore.Read("/a")->mModRevision);
  EXPECT_EQ(*outcomes[1], *outcomes[0]);
  EXPECT_EQ(mStore.Counts().Count(StoreCall::Commit), 1U);
  EXPECT_EQ(mStore.Counts().Count(StoreCall::Read), 2U);
}

TEST_F(Committer, ReportsALostDeletionAsAppliedWhenTheKeyIsGone)
{
  const Revision seeded = Seed("/a");
  const RecordWrite remove{ { "/a", std::nullopt, 0 }, seeded, std::nullopt };
  mStore.SetFaults({ .mLoseReplies = 1 });
  EXPECT_TRUE(mCommitter.CommitAll({ &remove, 1 })[0].ok());
  EXPECT_EQ(mStore.Counts().Count(StoreCall::Commit), 2U);
}

TEST_F(Committer, ReportsAConflictAfterALostReplyAsNotRun)
{
  const std::vector<RecordWrite> records = { Record("/a", "1"),
                                             Record("/taken", "2") };
  Seed("/taken");
  mStore.SetFaults({ .mLoseReplies = 1 });
  const auto outcomes = mCommitter.CommitAll(records);
  EXPECT_TRUE(outcomes[0].ok()) << outcomes[0].status();
  EXPECT_TRUE(absl::IsAborted(outcomes[1].status()));
  EXPECT_EQ(VerdictOf(outcomes[1].status()), Verdict::NotRun);
}

TEST_F(Committer, ReportsAnOverwrittenKeyAfterALostReplyAsMayHaveRun)
{
  const std::vector<RecordWrite> records = { Record("/taken", "1") };
  Seed("/taken");
  mStore.SetFaults({ .mLoseReplies = 1 });
  const auto outcomes = mCommitter.CommitAll(records);
  EXPECT_TRUE(absl::IsAborted(outcomes[0].status()));
  EXPECT_EQ(VerdictOf(outcomes[0].status()), Verdict::MayHaveRun);
}

TEST_F(Committer, ReportsAnOutageAsNotRun)
{
  mStore.SetFaults({ .mOutage = true });
  const std::vector<RecordWrite> records = { Record("/a", "1"),
                                             Record("/b", "2") };
  for (const auto& outcome : mCommitter.CommitAll(records)) {
    EXPECT_TRUE(absl::IsUnavailable(outcome.status()));
    EXPECT_EQ(VerdictOf(outcome.status()), Verdict::NotRun);
  }
  EXPECT_EQ(mCounters.mCommits, 1U);
}

} // namespace
} // namespace foxtailbarrow
