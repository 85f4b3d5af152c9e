#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

#include <boost/fiber/operations.hpp>
#include <gtest/gtest.h>

#include "foxtailbarrow/Verdict.h"
#include "src/core/cell/records/CellRecords.h"
#include "src/core/message/Codec.h"
#include "src/net/HttpClient.h"
#include "src/net/TypedRpc.h"
#include "src/platform/store/MemoryStore.h"
#include "tests/scheduler/PlainOwner.h"
#include "tests/scheduler/ReportingAgent.h"

namespace foxtailbarrow::scheduler::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A store that may lose the answer of a commit and apply it only later.
class LateStore final : public Store
{
public:
  explicit LateStore(Store& aStore)
    : mStore(aStore)
  {
  }

  bool mHoldNext = false;
  std::optional<StoreTransaction> mHeld;
  bool mFailProgress = false; ///< No progress is written.

  absl::StatusOr<StoreTransactionResult> Commit(
    const StoreTransaction& aTransaction) override
  {
    if (std::exchange(mHoldNext, false)) {
      mHeld = aTransaction;
      return NoAnswer();
    }
    if (mFailProgress &&
        std::ranges::any_of(aTransaction.mWrites, [](const StoreWrite& aWrite) {
          return aWrite.mKey.starts_with(cell::kProgressPrefix);
        })) {
      return NoAnswer();
    }
    return mStore.Commit(aTransaction);
  }

  absl::StatusOr<StoreEntry> Read(std::string_view aKey) override
  {
    return mStore.Read(aKey);
  }
  absl::StatusOr<StoreListing> List(std::string_view aPrefix) override
  {
    return mStore.List(aPrefix);
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
  static absl::Status NoAnswer()
  {
    return WithVerdict(absl::DeadlineExceededError("no answer"),
                       Verdict::MayHaveRun);
  }

  Store& mStore;
};

/// An owner, and an agent whose worker runs tasks of no known job.
class AgentRecordTest : public testing::Test
{
protected:
  void Start(Duration aStopTime)
  {
    net::AddTyped<cell::ReportRequest>(
      mDispatcher,
      cell::kReportMethod,
      [this](const cell::ReportRequest& aReport) {
        return mOwner->OnReport(aReport);
      });
    auto server = net::HttpServer::Start(
      mRuntime, { "127.0.0.1", 0 }, [this](net::HttpRequest& aRequest) {
        return mDispatcher.Handle(aRequest);
      });
    ASSERT_TRUE(server.ok());
    mServer = *std::move(server);
    cell::CellSettings settings;
    settings.mStopTime = aStopTime;
    mRuntime.RunAndWait([&] {
      const auto cell =
        mMemory.Commit({ {}, { { std::string(cell::kCellKey), "{}" } } });
      ASSERT_TRUE(cell.ok());
      const cell::OwnerTerm term(1, cell->mRevision, MonotonicNow(), settings);
      mOwner = MakePlainOwner(
        mRuntime, mStore, mRpc, term, settings, mServer->ListeningEndpoint());
      ASSERT_TRUE(mOwner->Load().ok());
    });
    mAgent = std::make_unique<ReportingAgent>(
      mRuntime, mRpc, 0, mServer->ListeningEndpoint());
  }

  void TearDown() override
  {
    mRuntime.RunAndWait([this] {
      mOwner->End();
      mMemory.Close();
      boost::this_fiber::sleep_for(seconds(1));
    });
    mServer.reset();
  }

  /// Stores the job of the agent's tasks, as an earlier owner has started it.
  void StoreJob()
  {
    cell::StoredJob job;
    job.mGraph.mId = ReportingAgent::kJob;
    job.mGraph.mQueue = cell::QueueId("queue");
    job.mGraph.mSteps.resize(1);
    job.mGraph.mSteps.front().mReplicas = ReportingAgent::kTasks;
    StoreTransaction transaction;
    transaction.mWrites = { { cell::JobKey(ReportingAgent::kJob),
                              ToJsonText(job) },
                            { cell::ProgressKey(ReportingAgent::kJob),
                              ToJsonText(cell::StoredProgress{}) } };
    ASSERT_TRUE(mMemory.Commit(transaction).ok());
  }

  std::optional<cell::AgentContact> Record()
  {
    const auto entry = mMemory.Read(cell::AgentKey(AgentId("agent-0")));
    if (!entry.ok()) {
      return std::nullopt;
    }
    const auto contact = FromJsonText<cell::AgentContact>(entry->mValue);
    return contact.ok() ? std::optional(*contact) : std::nullopt;
  }

  bool IsClosed(bool aClosed)
  {
    const auto record = Record();
    return record && record->mClosed == aClosed;
  }

  /// True once the condition holds, within `aLongest`. The agent reports.
  bool Await(const std::function<bool()>& aCondition,
             Duration aLongest = seconds(10))
  {
    bool met = false;
    mRuntime.RunAndWait([&] {
      const Instant end = MonotonicNow() + aLongest;
      while (!(met = aCondition()) && MonotonicNow() < end) {
        mAgent->Report();
        boost::this_fiber::sleep_for(milliseconds(20));
      }
    });
    return met;
  }

  net::FiberRuntime mRuntime{ 1 };
  MemoryStore mMemory;
  LateStore mStore{ mMemory };
  net::HttpClient mClient{ mRuntime };
  net::RpcClient mRpc{ mClient };
  net::RpcDispatcher mDispatcher;
  std::unique_ptr<net::HttpServer> mServer;
  std::shared_ptr<CellOwner> mOwner;
  std::unique_ptr<ReportingAgent> mAgent;
};

TEST_F(AgentRecordTest, IsClosedWhileTheWorkerDrains)
{
  Start(cell::kLongStop);
  ASSERT_TRUE(Await([&] { return IsClosed(false); }));
  ASSERT_TRUE(Await([&] { return mAgent->AcceptedReports() > 0; }));
  mAgent->mDraining = true;
  ASSERT_TRUE(Await([&] { return IsClosed(true); }));
  EXPECT_EQ(Record()->mTasks.size(), std::size_t{ ReportingAgent::kTasks });
  // A next owner must not wait for tasks that were stopped since.
  mAgent->mRunning = 3;
  EXPECT_TRUE(Await([&] { return Record()->mTasks.size() == 3U; }));
  mAgent->mDraining = false;
  EXPECT_TRUE(Await([&] { return IsClosed(false); }));
}

/// Where stops are short the records are as before.
TEST_F(AgentRecordTest, StaysOpenWhereStopsAreShort)
{
  Start(milliseconds(400));
  ASSERT_TRUE(Await([&] { return mAgent->AcceptedReports() > 0; }));
  mAgent->mDraining = true;
  EXPECT_FALSE(Await([&] { return IsClosed(true); }, seconds(1)));
}

/// A close that is applied after the record was opened again would hide from
/// the next owner what has started since.
TEST_F(AgentRecordTest, ALateCloseDoesNotReplaceTheOpenRecord)
{
  Start(cell::kLongStop);
  ASSERT_TRUE(Await([&] { return mAgent->AcceptedReports() > 0; }));
  mRuntime.RunAndWait([&] { mStore.mHoldNext = true; });
  mAgent->mDraining = true;
  ASSERT_TRUE(Await([&] { return mStore.mHeld.has_value(); }));
  mAgent->mDraining = false;
  const auto isOpenForStarts = [&] {
    const auto& workers = mOwner->Logic().Workers();
    const auto worker = workers.find(AgentId("agent-0"));
    return worker != workers.end() && !worker->second.mInfo.mDraining &&
           !worker->second.mRecordClosed;
  };
  ASSERT_TRUE(Await(isOpenForStarts));
  mRuntime.RunAndWait([&] {
    const auto late = mMemory.Commit(*mStore.mHeld);
    ASSERT_TRUE(late.ok());
    EXPECT_FALSE(late->mApplied);
  });
  EXPECT_TRUE(IsClosed(false));
}

/// The record named the ends of the newest report only. As progress was not
/// written, a next owner ran the tasks of earlier reports again.
TEST_F(AgentRecordTest, NamesEndsOfAllReportsUntilTheyAreSaved)
{
  StoreJob();
  Start(cell::kLongStop);
  ASSERT_TRUE(Await([&] { return mAgent->AcceptedReports() > 0; }));
  mRuntime.RunAndWait([&] { mStore.mFailProgress = true; });
  mAgent->mDraining = true;
  ASSERT_TRUE(Await([&] { return IsClosed(true); }));
  while (mAgent->mRunning > 0) {
    --mAgent->mRunning;
    ++mAgent->mEndedDone;
    const auto before = mAgent->AcceptedReports();
    ASSERT_TRUE(Await([&] { return mAgent->AcceptedReports() > before; }));
  }
  EXPECT_FALSE(
    Await([&] { return Record()->mTasks.size() < ReportingAgent::kTasks; },
          seconds(1)));
  mRuntime.RunAndWait([&] { mStore.mFailProgress = false; });
  EXPECT_TRUE(Await([&] { return Record()->mTasks.empty(); }));
}

/// The record of a worker that left was removed although ends of it were not
/// saved: nothing told a next owner to wait.
TEST_F(AgentRecordTest, IsKeptForAWorkerThatLeftUntilItsEndsAreSaved)
{
  StoreJob();
  Start(milliseconds(400));
  ASSERT_TRUE(Await([&] { return mAgent->AcceptedReports() > 0; }));
  mRuntime.RunAndWait([&] { mStore.mFailProgress = true; });
  mAgent->mEndedDone = std::exchange(mAgent->mRunning, 0);
  mAgent->mDraining = true;
  mAgent->mLeft = true;
  EXPECT_FALSE(Await([&] { return !Record(); }, seconds(1)));
  mRuntime.RunAndWait([&] { mStore.mFailProgress = false; });
  EXPECT_TRUE(Await([&] { return !Record(); }));
}

} // namespace

} // namespace foxtailbarrow::scheduler::test
