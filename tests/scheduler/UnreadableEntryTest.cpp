#include <functional>
#include <string>

#include <boost/fiber/operations.hpp>
#include <gtest/gtest.h>

#include "apps/scheduler/Election.h"
#include "src/core/cell/records/CellRecords.h"
#include "src/core/message/Codec.h"
#include "src/net/HttpClient.h"
#include "src/platform/store/MemoryStore.h"
#include "tests/scheduler/PlainOwner.h"
#include "tests/scheduler/TakeCell.h"

namespace foxtailbarrow::scheduler::test {

namespace {

using std::chrono::milliseconds;

/// An invalid text in place of a record.
struct BadEntry
{
  const char* mName;
  std::function<std::string()> mText;
};

std::string Nested()
{
  constexpr std::size_t kDeep = 10'000;
  return std::string(kDeep, '[') + std::string(kDeep, ']');
}

class UnreadableEntryTest : public testing::TestWithParam<BadEntry>
{
protected:
  UnreadableEntryTest()
    : mClient(mRuntime)
    , mRpc(mClient)
    , mElection(mSettings, {}, mStore, [this](const cell::OwnerTerm& aTerm) {
      return MakePlainOwner(mRuntime, mStore, mRpc, aTerm);
    })
  {
  }

  void Put(const std::string& aKey, const std::string& aText)
  {
    ASSERT_TRUE(mStore.Commit({ {}, { { aKey, aText } } }).ok());
  }

  static std::string JobText(const std::string& aId)
  {
    cell::StoredJob job;
    job.mGraph.mId = JobId(aId);
    job.mGraph.mQueue = cell::QueueId("queue");
    job.mGraph.mSteps.resize(1);
    return ToJsonText(job);
  }

  std::string Stored(const std::string& aKey)
  {
    const auto entry = mStore.Read(aKey);
    return entry.ok() ? entry->mValue : entry.status().ToString();
  }

  net::FiberRuntime mRuntime{ 1 };
  MemoryStore mStore;
  net::HttpClient mClient;
  net::RpcClient mRpc;
  SchedulerSettings mSettings;
  Election mElection;
};

/// A job with unreadable progress was treated as not started: all its tasks ran
/// again, and the entry was overwritten.
TEST_P(UnreadableEntryTest, IsSkippedAndNotChanged)
{
  const std::string bad = GetParam().mText();
  const std::string id = "done";
  mRuntime.RunAndWait([&] {
    Put(cell::JobKey(JobId("bad")), bad);
    Put(cell::JobKey(JobId(id)), JobText(id));
    Put(cell::ProgressKey(JobId(id)), bad);
    Put(std::string(cell::kAgentPrefix) + "agent", bad);
    Put(cell::JobKey(JobId("good")), JobText("good"));
    TakeCell(mElection);
    const auto owner = mElection.Owner();
    ASSERT_NE(owner, nullptr);
    // Notified again, as for a cancellation.
    const auto again = FromJsonText<cell::StoredJob>(JobText(id));
    owner->OnRecordChanged(*again);
    const auto& jobs = owner->Logic().Jobs();
    EXPECT_EQ(jobs.size(), 1U);
    EXPECT_TRUE(jobs.contains(JobId("good")));
    EXPECT_EQ(owner->Counters().mUnreadable, 3U);
    // Another unreadable entry, received by the watch.
    Put(cell::JobKey(JobId("later")), bad);
    Put(cell::JobKey(JobId("next")), JobText("next"));
    boost::this_fiber::sleep_for(milliseconds(200));
    EXPECT_TRUE(jobs.contains(JobId("next")));
    EXPECT_EQ(owner->Counters().mUnreadable, 4U);
    EXPECT_EQ(Stored(cell::ProgressKey(JobId(id))), bad);
    EXPECT_EQ(Stored(cell::JobKey(JobId("bad"))), bad);
    mElection.Superseded();
    mStore.Close();
    boost::this_fiber::sleep_for(std::chrono::seconds(1));
  });
}

/// A watch that ends again and again, as in an outage, lists the entries each
/// time; each listing logged and counted them again.
TEST_P(UnreadableEntryTest, IsCountedOnce)
{
  mRuntime.RunAndWait([&] {
    Put(cell::JobKey(JobId("bad")), GetParam().mText());
    TakeCell(mElection);
    const auto owner = mElection.Owner();
    ASSERT_NE(owner, nullptr);
    StoreFaults outage;
    outage.mOutage = true;
    for (int i = 0; i < 3; ++i) {
      mStore.SetFaults(outage);
      boost::this_fiber::sleep_for(milliseconds(150));
      mStore.SetFaults({});
      boost::this_fiber::sleep_for(milliseconds(300));
    }
    EXPECT_EQ(owner->Counters().mUnreadable, 1U);
    mElection.Superseded();
    mStore.Close();
    boost::this_fiber::sleep_for(std::chrono::seconds(1));
  });
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  UnreadableEntryTest,
  testing::Values(
    BadEntry{ "Empty", [] { return std::string(); } },
    BadEntry{ "Null", [] { return std::string("null"); } },
    BadEntry{ "Array", [] { return std::string("[]"); } },
    BadEntry{ "Number", [] { return std::string("7"); } },
    BadEntry{ "Truncated", [] { return std::string(R"({"graph":{"id":)"); } },
    BadEntry{ "WrongTypes",
              [] {
                return std::string(
                  R"({"graph":7,"phase":[],"steps":"x","endpoint":{}})");
              } },
    BadEntry{
      "Negative",
      [] {
        return std::string(
          R"({"graph":{"id":"x","queue":"q","steps":[{"replicas":-1}]},)"
          R"("phase":"queued","steps":[{"step":-1}],"endpoint":"x"})");
      } },
    BadEntry{ "TooLarge",
              [] {
                return std::string(
                  R"({"graph":{"id":"x","queue":"q","steps":[{}]},)"
                  R"("acceptedUnixMs":99999999999999999999999,)"
                  R"("phase":"no such","endpoint":"1:99999999"})");
              } },
    BadEntry{ "LaterDependency",
              [] {
                return std::string(
                  R"({"graph":{"id":"bad","queue":"q","steps":[)"
                  R"({"replicas":1,"after":[1000000]}]},"acceptedUnixMs":1})");
              } },
    BadEntry{ "PortOutOfRange",
              [] {
                return std::string(
                  R"({"endpoint":{"address":"127.0.0.1","port":70000}})");
              } },
    BadEntry{ "ManySteps",
              [] {
                std::string steps = R"({"replicas":1})";
                for (int i = 0; i < 1'000; ++i) {
                  steps += R"(,{"replicas":1})";
                }
                return R"({"graph":{"id":"bad","queue":"q","steps":[)" + steps +
                       R"(]},"acceptedUnixMs":1})";
              } },
    BadEntry{ "LongEstimate",
              [] {
                return std::string(
                  R"({"graph":{"id":"bad","queue":"q","steps":[)"
                  R"({"replicas":1,"estimateUs":2305843009213693952},)"
                  R"({"replicas":1,"estimateUs":2305843009213693952,)"
                  R"("after":[0]}]},"acceptedUnixMs":1})");
              } },
    BadEntry{
      "ManyOccurrences",
      [] {
        return std::string(
          R"({"graph":{"id":"bad","queue":"q","steps":[{"replicas":1}],)"
          R"("recurrence":{"count":2147483647}},"acceptedUnixMs":1})");
      } },
    BadEntry{ "OfAnotherKey",
              [] {
                return std::string(
                  R"({"graph":{"id":"x","queue":"q","steps":[{}]}})");
              } },
    BadEntry{ "NotUtf8", [] { return std::string("{\"\xff\xfe\":1}"); } },
    BadEntry{ "LongText",
              [] { return "\"" + std::string(1'000'000, 'x') + "\""; } },
    BadEntry{ "Nested", Nested }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

} // namespace

} // namespace foxtailbarrow::scheduler::test
