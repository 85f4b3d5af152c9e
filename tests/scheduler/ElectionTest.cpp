#include <boost/fiber/operations.hpp>
#include <gtest/gtest.h>

#include "apps/scheduler/Election.h"
#include "src/core/cell/records/CellRecords.h"
#include "src/core/message/Codec.h"
#include "src/net/HttpClient.h"
#include "src/platform/store/MemoryStore.h"
#include "tests/scheduler/PlainOwner.h"
#include "tests/scheduler/SilentStore.h"
#include "tests/scheduler/TakeCell.h"

namespace foxtailbarrow::scheduler::test {

namespace {

using std::chrono::milliseconds;

template<typename Condition>
void Await(Condition aCondition)
{
  while (!aCondition()) {
    boost::this_fiber::sleep_for(milliseconds(1));
  }
}

struct EarlierOwnerCase
{
  const char* mName;
  const char* mScheduler;
  std::uint16_t mPort;
  bool mAcquired;
};

class EarlierOwnerTest : public testing::TestWithParam<EarlierOwnerCase>
{};

/// The key of a killed owner exists until its lease expires.
TEST_P(EarlierOwnerTest, IsReplacedAtOnceByItsOwnRestart)
{
  net::FiberRuntime runtime(1);
  MemoryStore store;
  net::HttpClient client(runtime);
  net::RpcClient rpc(client);
  SchedulerSettings settings;
  settings.mId = EntryId("scheduler");
  settings.mAdvertised = { "10.0.0.1", 7000 };
  Election election(settings, {}, store, [&](const cell::OwnerTerm& aTerm) {
    return MakePlainOwner(runtime, store, rpc, aTerm);
  });
  runtime.RunAndWait([&] {
    const auto lease = store.GrantLease(std::chrono::minutes(1));
    ASSERT_TRUE(lease.ok());
    const cell::OwnerRecord earlier{
      EntryId(GetParam().mScheduler), { "10.0.0.1", GetParam().mPort }, 4, 1
    };
    ASSERT_TRUE(
      store
        .Commit(
          { {},
            { { std::string(cell::kOwnerKey), ToJsonText(earlier), *lease } } })
        .ok());
    runtime.Spawn([&] { election.Round(); });
    boost::this_fiber::sleep_for(milliseconds(300));
    const auto owner = election.Owner();
    EXPECT_EQ(owner != nullptr, GetParam().mAcquired);
    if (owner) {
      EXPECT_GT(owner->Logic().OwnGeneration(), 4);
      EXPECT_TRUE(owner->Term().Before().mEnded);
    }
    election.Resign();
    store.Close();
    boost::this_fiber::sleep_for(std::chrono::seconds(1));
  });
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  EarlierOwnerTest,
  testing::Values(
    EarlierOwnerCase{ "Itself", "scheduler", 7000, true },
    EarlierOwnerCase{ "AnotherAddress", "scheduler", 7001, false },
    EarlierOwnerCase{ "AnotherOne", "other", 7000, false }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

/// An owner that misses a configuration while it loads starts nothing until the
/// next change.
TEST(ElectionTest, AnOwnerAppliesTheConfigurationWhileItLoads)
{
  net::FiberRuntime runtime(1);
  MemoryStore memory;
  SilentStore store(memory);
  store.mHoldLists = true;
  net::HttpClient client(runtime);
  net::RpcClient rpc(client);
  SchedulerSettings settings;
  settings.mId = EntryId("scheduler");
  Election election(settings, {}, store, [&](const cell::OwnerTerm& aTerm) {
    return MakePlainOwner(runtime, store, rpc, aTerm);
  });
  runtime.RunAndWait([&] {
    cell::StoredJob job;
    job.mGraph.mId = JobId("job");
    job.mGraph.mQueue = cell::QueueId("queue");
    job.mGraph.mSteps.resize(1);
    ASSERT_TRUE(
      memory
        .Commit({ {}, { { cell::JobKey(job.mGraph.mId), ToJsonText(job) } } })
        .ok());
    runtime.Spawn([&] { TakeCell(election); });
    Await([&] { return store.mListWaits; });
    EXPECT_EQ(election.Owner(), nullptr);
    ASSERT_NE(election.Term(), nullptr);
    cell::QueuePolicy policy;
    policy.mQueue = cell::QueueId("queue");
    policy.mService = ServiceId("service");
    election.Term()->SetQueues({ policy });
    store.mHoldLists = false;
    Await([&] { return election.Owner() != nullptr; });
    EXPECT_EQ(
      election.Owner()->Logic().Jobs().at(job.mGraph.mId).mPolicy.mService,
      ServiceId("service"));
    election.Superseded();
    memory.Close();
    boost::this_fiber::sleep_for(std::chrono::seconds(3));
  });
}

/// Entries that another writer left under the keys of the election.
struct OddRecords
{
  const char* mName;
  const char* mOwner; ///< Without a lease; empty = none.
  const char* mCell;  ///< Empty = none.
};

class OddRecordsTest : public testing::TestWithParam<OddRecords>
{};

/// No scheduler ever led the cell while one of them could not be read.
TEST_P(OddRecordsTest, AreReplaced)
{
  net::FiberRuntime runtime(1);
  MemoryStore store;
  net::HttpClient client(runtime);
  net::RpcClient rpc(client);
  SchedulerSettings settings;
  settings.mId = EntryId("scheduler");
  settings.mAdvertised = { "10.0.0.1", 7000 };
  Election election(settings, {}, store, [&](const cell::OwnerTerm& aTerm) {
    return MakePlainOwner(runtime, store, rpc, aTerm);
  });
  const auto put = [&](std::string_view aKey, const std::string& aText) {
    if (!aText.empty()) {
      ASSERT_TRUE(store.Commit({ {}, { { std::string(aKey), aText } } }).ok());
    }
  };
  runtime.RunAndWait([&] {
    put(cell::kOwnerKey, GetParam().mOwner);
    put(cell::kCellKey, GetParam().mCell);
    const auto before = store.Read(cell::kCellKey);
    TakeCell(election);
    ASSERT_NE(election.Owner(), nullptr);
    const auto cell = store.Read(cell::kCellKey);
    ASSERT_TRUE(cell.ok());
    const auto record = FromJsonText<cell::CellRecord>(cell->mValue);
    ASSERT_TRUE(record.ok()) << cell->mValue;
    // Higher than each earlier one, of which none takes less than a revision.
    EXPECT_GT(record->mGeneration, before.ok() ? before->mModRevision : 0);
    EXPECT_LE(record->mGeneration, cell::kMaxGeneration);
    const auto owner = store.Read(cell::kOwnerKey);
    ASSERT_TRUE(owner.ok());
    EXPECT_TRUE(FromJsonText<cell::OwnerRecord>(owner->mValue).ok())
      << owner->mValue;
    election.Superseded();
    store.Close();
    boost::this_fiber::sleep_for(std::chrono::seconds(1));
  });
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  OddRecordsTest,
  testing::Values(
    OddRecords{ "Owner", "[[[[", "" },
    OddRecords{ "OwnerWithAPortOutOfRange",
                R"({"scheduler":"s","generation":7,"token":1,)"
                R"("endpoint":{"address":"10.0.0.1","port":70000}})",
                "" },
    OddRecords{ "Cell", "", "7" },
    OddRecords{ "CellWithALargeGeneration",
                "",
                R"({"scheduler":"s","generation":9223372036854775807,)"
                R"("token":1})" },
    OddRecords{ "Both", "null", "[]" }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

} // namespace

} // namespace foxtailbarrow::scheduler::test
