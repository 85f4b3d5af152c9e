#include <boost/fiber/operations.hpp>
#include <gtest/gtest.h>

#include "apps/scheduler/Election.h"
#include "src/core/cell/CellRecords.h"
#include "src/core/message/Codec.h"
#include "src/net/HttpClient.h"
#include "src/platform/store/MemoryStore.h"

namespace foxtailbarrow::scheduler::test {

namespace {

using std::chrono::milliseconds;

/// A store whose lists wait until they are let.
class GatedStore final : public Store
{
public:
  explicit GatedStore(Store& aStore)
    : mStore(aStore)
  {
  }

  bool mOpen = false;
  bool mWaits = false;

  absl::StatusOr<StoreEntry> Read(std::string_view aKey) override
  {
    return mStore.Read(aKey);
  }

  absl::StatusOr<StoreListing> List(std::string_view aPrefix) override
  {
    while (!mOpen) {
      mWaits = true;
      boost::this_fiber::sleep_for(milliseconds(1));
    }
    return mStore.List(aPrefix);
  }

  absl::StatusOr<StoreTransactionResult> Commit(
    const StoreTransaction& aTransaction) override
  {
    return mStore.Commit(aTransaction);
  }

  absl::StatusOr<StoreLease> GrantLease(Duration aTtl) override
  {
    return mStore.GrantLease(aTtl);
  }

  absl::StatusOr<Duration> KeepAlive(StoreLease aLease) override
  {
    return mStore.KeepAlive(aLease);
  }

  absl::Status RevokeLease(StoreLease aLease) override
  {
    return mStore.RevokeLease(aLease);
  }

  absl::Status Watch(std::string_view aPrefix,
                     Revision aFrom,
                     const std::function<bool(const std::vector<StoreEvent>&)>&
                       aOnEvents) override
  {
    return mStore.Watch(aPrefix, aFrom, aOnEvents);
  }

private:
  Store& mStore;
};

template<typename Condition>
void Await(Condition aCondition)
{
  while (!aCondition()) {
    boost::this_fiber::sleep_for(milliseconds(1));
  }
}

TEST(ElectionTest, AnOwnerThatLoadsTakesTheConfiguration)
{
  net::FiberRuntime runtime(1);
  MemoryStore memory;
  GatedStore store(memory);
  net::HttpClient client(runtime);
  net::RpcClient rpc(client);
  SchedulerSettings settings;
  settings.mId = EntryId("scheduler");
  Election election(settings, {}, store, [&](const cell::OwnerTerm& aTerm) {
    return std::make_shared<CellOwner>(
      CellOwner::Parts{
        runtime, store, rpc, {}, std::chrono::hours(1), nullptr, [] {} },
      aTerm,
      cell::CellSettings{},
      std::vector<cell::QueuePolicy>{});
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
    runtime.Spawn([&] { election.Round(); });
    Await([&] { return store.mWaits; });
    EXPECT_EQ(election.Owner(), nullptr);
    ASSERT_NE(election.Term(), nullptr);
    cell::QueuePolicy policy;
    policy.mQueue = cell::QueueId("queue");
    policy.mService = ServiceId("service");
    election.Term()->SetQueues({ policy });
    store.mOpen = true;
    Await([&] { return election.Owner() != nullptr; });
    EXPECT_EQ(
      election.Owner()->Logic().Jobs().at(job.mGraph.mId).mPolicy.mService,
      ServiceId("service"));
    election.Superseded();
    memory.Close();
    boost::this_fiber::sleep_for(std::chrono::seconds(3));
  });
}

} // namespace

} // namespace foxtailbarrow::scheduler::test
