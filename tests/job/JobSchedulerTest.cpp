#include "src/core/job/JobScheduler.h"

#include <gtest/gtest.h>
#include <random>

#include "src/core/job/ShardOf.h"

namespace foxtailbarrow {
namespace {

using namespace std::chrono_literals;

constexpr ShardId kShard = 3;
constexpr Generation kGeneration = 77;
const CustomerId kCustomer("trasowka");
const JobId kJob = JobIdFor(kCustomer, "1");
const AgentId kAgent("agent-1");

Contract TestContract()
{
  Contract contract;
  contract.mCustomer = kCustomer;
  contract.mBatch = { { 640000, 2500000, 0 }, 100, 1.0 };
  return contract;
}

JobRecord TestRecord()
{
  JobRecord record;
  record.mSpec.mId = kJob;
  record.mSpec.mCustomer = kCustomer;
  record.mSpec.mDeclared = { 1000, 1024, 0 };
  return record;
}

/// A scheduler with one owned shard, one worker and one waiting job.
class JobSchedulerTest : public testing::Test
{
protected:
  void SetUp() override
  {
    Dispatch(ContractsChanged{ { TestContract() }, {} });
    Dispatch(ShardAcquired{ kShard, kGeneration, {} });
    Dispatch(JobRead{ kShard, { TestRecord(), 5 } });
    SendHeartbeat({});
  }

  JobScheduler::Actions Dispatch(const JobEvent& aEvent)
  {
    return mScheduler.Handle(aEvent, mNow, mRandom);
  }

  template<typename Action>
  std::vector<Action> ActionsOf(const JobScheduler::Actions& aActions)
  {
    std::vector<Action> found;
    for (const JobAction& action : aActions) {
      if (const auto* wanted = std::get_if<Action>(&action)) {
        found.push_back(*wanted);
      }
    }
    return found;
  }

  JobScheduler::Actions SendHeartbeat(std::vector<TaskReport> aTasks)
  {
    Heartbeat heartbeat;
    heartbeat.mAgent = kAgent;
    heartbeat.mIncarnation = 1;
    heartbeat.mSequence = ++mSequence;
    heartbeat.mState = ServingState::Serving;
    heartbeat.mLoad.mCapacity = { 64000, 250000, 0 };
    heartbeat.mLoad.mReserved = mReserved;
    heartbeat.mTasks = std::move(aTasks);
    auto actions = Dispatch(HeartbeatReceived{ heartbeat });
    Dispatch(HeartbeatReplySent{ kAgent, 1, mSequence, mNow + 20s });
    return actions;
  }

  TaskReport Report(Epoch aEpoch, TaskState aState)
  {
    TaskReport report;
    report.mShard = kShard;
    report.mStatus.mKey = { kJob, aEpoch };
    report.mStatus.mState = aState;
    report.mStatus.mReserved = { 1000, 1024, 0 };
    report.mStatus.mCheckpoint =
      aState == TaskState::Checkpointed ? "checkpoint" : "";
    return report;
  }

  CommitRecord OnlyCommit(const JobScheduler::Actions& aActions)
  {
    const auto commits = ActionsOf<CommitRecord>(aActions);
    EXPECT_EQ(commits.size(), 1U);
    return commits.empty() ? CommitRecord{} : commits.front();
  }

  JobScheduler::Actions Apply(const CommitRecord& aCommit)
  {
    return Dispatch(CommitDone{
      aCommit.mToken, CommitOutcome::Applied, aCommit.mExpected + 1 });
  }

  /// Places, commits and starts the job; returns its Assign.
  SendAssign Start()
  {
    const auto sent =
      ActionsOf<SendAssign>(Apply(OnlyCommit(Dispatch(Tick{}))));
    EXPECT_EQ(sent.size(), 1U);
    return sent.empty() ? SendAssign{} : sent.front();
  }

  Resources mReserved;
  Instant mNow{ 1000s };
  std::mt19937_64 mRandom{ 1 };
  std::uint64_t mSequence = 0;
  JobScheduler mScheduler;
};

TEST_F(JobSchedulerTest, CommitsTheAssignmentBeforeSendingIt)
{
  const auto placed = Dispatch(Tick{});
  EXPECT_TRUE(ActionsOf<SendAssign>(placed).empty());
  const CommitRecord commit = OnlyCommit(placed);
  EXPECT_EQ(commit.mRecord.mState, JobState::Assigned);
  EXPECT_EQ(commit.mRecord.mEpoch, 1U);
  EXPECT_EQ(commit.mExpected, 5);
  EXPECT_EQ(commit.mGeneration, kGeneration);

  const auto sent = ActionsOf<SendAssign>(Apply(commit));
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent.front().mAssign.mTask.mKey, (TaskKey{ kJob, 1 }));
  EXPECT_EQ(sent.front().mAssign.mSequence, mSequence);
}

struct EndCase
{
  std::string_view mName;
  TaskState mReported;
  JobState mCommitted;
};

class JobSchedulerEnd
  : public JobSchedulerTest
  , public testing::WithParamInterface<EndCase>
{};

TEST_P(JobSchedulerEnd, IsCommittedBeforeItIsAcknowledged)
{
  Start();
  const auto reported = SendHeartbeat({ Report(1, GetParam().mReported) });
  EXPECT_TRUE(ActionsOf<AcknowledgeTasks>(reported).empty());
  const CommitRecord commit = OnlyCommit(reported);
  EXPECT_EQ(commit.mRecord.mState, GetParam().mCommitted);
  EXPECT_EQ(commit.mRecord.mEpoch, 1U);

  const auto acknowledged = ActionsOf<AcknowledgeTasks>(Apply(commit));
  ASSERT_EQ(acknowledged.size(), 1U);
  EXPECT_EQ(acknowledged.front().mKeys.front(), (TaskKey{ kJob, 1 }));
}

INSTANTIATE_TEST_SUITE_P(
  All,
  JobSchedulerEnd,
  testing::Values(
    EndCase{ "Finished", TaskState::Finished, JobState::Finished },
    EndCase{ "Failed", TaskState::Failed, JobState::Queued },
    EndCase{ "Checkpointed", TaskState::Checkpointed, JobState::Suspended },
    EndCase{ "Stopped", TaskState::Stopped, JobState::Queued }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

TEST_F(JobSchedulerTest, ResumesFromTheCheckpointUnderTheNextEpoch)
{
  Start();
  Apply(OnlyCommit(SendHeartbeat({ Report(1, TaskState::Checkpointed) })));
  const SendAssign resumed = Start();
  EXPECT_EQ(resumed.mAssign.mTask.mKey.mEpoch, 2U);
  EXPECT_EQ(resumed.mAssign.mTask.mCheckpoint, "checkpoint");
}

TEST_F(JobSchedulerTest, CancelsAWaitingJobImmediately)
{
  const CommitRecord commit = OnlyCommit(Dispatch(CancelRequested{ kJob }));
  EXPECT_EQ(commit.mRecord.mState, JobState::Cancelled);
}

TEST_F(JobSchedulerTest, StopsARunningJobBeforeCancellingIt)
{
  Start();
  SendHeartbeat({ Report(1, TaskState::Running) });
  const CommitRecord mark = OnlyCommit(Dispatch(CancelRequested{ kJob }));
  EXPECT_EQ(mark.mRecord.mState, JobState::Assigned);
  EXPECT_TRUE(mark.mRecord.mCancelRequested);
  const auto stops = ActionsOf<SendControl>(Apply(mark));
  ASSERT_EQ(stops.size(), 1U);
  EXPECT_EQ(stops.front().mControl.mAction, TaskAction::Stop);
  const auto stopped = SendHeartbeat({ Report(1, TaskState::Stopped) });
  EXPECT_EQ(OnlyCommit(stopped).mRecord.mState, JobState::Cancelled);
}

struct WaitCase
{
  std::string_view mName;
  Resources mDeclared;
  std::int32_t mMaxRunningJobs;
  double mShare;
  Reason mReason;
  bool mParks;
};

class JobSchedulerWait
  : public JobSchedulerTest
  , public testing::WithParamInterface<WaitCase>
{};

TEST_P(JobSchedulerWait, ReportsTheReasonAndParksJobsThatCannotRun)
{
  const WaitCase& given = GetParam();
  Contract contract = TestContract();
  contract.mBatch.mMaxRunningJobs = given.mMaxRunningJobs;
  contract.mBatch.mSharePerWorker = given.mShare;
  Dispatch(ContractsChanged{ { contract }, {} });
  JobRecord record = TestRecord();
  record.mSpec.mDeclared = given.mDeclared;
  Dispatch(JobRead{ kShard, { record, 6 } });
  EXPECT_TRUE(Dispatch(Tick{}).empty());
  EXPECT_EQ(mScheduler.Explain(kJob).back().mReason, given.mReason);
  mNow += 11s;
  SendHeartbeat({});
  const auto commits = ActionsOf<CommitRecord>(Dispatch(Tick{}));
  ASSERT_EQ(!commits.empty(), given.mParks);
  EXPECT_TRUE(!given.mParks ||
              commits.front().mRecord.mState == JobState::Parked);
}

INSTANTIATE_TEST_SUITE_P(All,
                         JobSchedulerWait,
                         testing::Values(WaitCase{ "NoJobsAllowed",
                                                   { 1000, 1024, 0 },
                                                   0,
                                                   1.0,
                                                   Reason::WaitingForQuota,
                                                   false },
                                         WaitCase{ "NoShareOfAnyWorker",
                                                   { 1000, 1024, 0 },
                                                   9,
                                                   0.0,
                                                   Reason::WaitingForCapacity,
                                                   false },
                                         WaitCase{ "LargerThanAnyWorker",
                                                   { 65000, 1024, 0 },
                                                   9,
                                                   1.0,
                                                   Reason::WaitingForCapacity,
                                                   true },
                                         WaitCase{ "NoSuchAccelerator",
                                                   { 1000, 1024, 1 },
                                                   9,
                                                   1.0,
                                                   Reason::WaitingForQuota,
                                                   true }),
                         [](const auto& aInfo) {
                           return std::string(aInfo.param.mName);
                         });

TEST_F(JobSchedulerTest, EvictsBatchWorkForAnUrgentJob)
{
  Contract contract = TestContract();
  contract.mUrgentAllowed = true;
  Dispatch(ContractsChanged{ { contract }, {} });
  Start();
  TaskReport running = Report(1, TaskState::Running);
  running.mStatus.mReserved = { 60000, 1024, 0 };
  mReserved = running.mStatus.mReserved;
  SendHeartbeat({ running });

  JobRecord urgent = TestRecord();
  urgent.mSpec.mId = JobIdFor(kCustomer, "urgent");
  urgent.mSpec.mPriority = JobPriority::Urgent;
  urgent.mSpec.mDeclared = { 8000, 1024, 0 };
  Dispatch(JobRead{ kShard, { urgent, 9 } });
  const auto evictions = ActionsOf<SendControl>(Dispatch(Tick{}));
  ASSERT_EQ(evictions.size(), 1U);
  EXPECT_EQ(evictions.front().mControl.mAction, TaskAction::Evict);
  EXPECT_EQ(evictions.front().mControl.mReason, Reason::EvictedForUrgent);

  // The capacity stays reserved until the worker reports it as free.
  mNow += 1s;
  EXPECT_TRUE(ActionsOf<CommitRecord>(Dispatch(Tick{})).empty());
  mReserved = {};
  Apply(OnlyCommit(SendHeartbeat({ Report(1, TaskState::Checkpointed) })));
  const auto commits = ActionsOf<CommitRecord>(Dispatch(Tick{}));
  ASSERT_FALSE(commits.empty());
  EXPECT_EQ(commits.front().mRecord.mSpec.mId, urgent.mSpec.mId);
  EXPECT_EQ(commits.front().mRecord.mState, JobState::Assigned);
}

TEST_F(JobSchedulerTest, KeepsAnUnreportedInheritedJobUntilCleared)
{
  JobRecord inherited = TestRecord();
  inherited.mState = JobState::Assigned;
  inherited.mEpoch = 4;
  inherited.mAgent = AgentId("agent-lost");
  Dispatch(
    ShardAcquired{ kShard, kGeneration + 1, { { inherited, 9 } }, false });
  mNow += 1h;
  EXPECT_TRUE(ActionsOf<CommitRecord>(Dispatch(Tick{})).empty());
  SendHeartbeat({});
  auto commits = ActionsOf<CommitRecord>(Dispatch(ShardCleared{ kShard }));
  for (const auto& commit : ActionsOf<CommitRecord>(Dispatch(Tick{}))) {
    commits.push_back(commit);
  }
  ASSERT_FALSE(commits.empty());
  EXPECT_GE(commits.front().mRecord.mEpoch, 4U);
}

struct SilenceCase
{
  Duration mInterval;
  bool mPlaced;
};

class JobSchedulerSilence
  : public JobSchedulerTest
  , public testing::WithParamInterface<SilenceCase>
{};

TEST_P(JobSchedulerSilence, DependsOnTheHeartbeatInterval)
{
  mScheduler.ExpectInterval(GetParam().mInterval);
  mNow += 10s;
  EXPECT_EQ(!ActionsOf<CommitRecord>(Dispatch(Tick{})).empty(),
            GetParam().mPlaced);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         JobSchedulerSilence,
                         testing::Values(SilenceCase{ 1s, false },
                                         SilenceCase{ 4s, true }));

TEST_F(JobSchedulerTest, DisownsATaskOfAnEarlierEpoch)
{
  Start();
  Apply(OnlyCommit(SendHeartbeat({ Report(1, TaskState::Checkpointed) })));
  Start();
  const auto disowned =
    ActionsOf<DisownTasks>(SendHeartbeat({ Report(1, TaskState::Running) }));
  ASSERT_EQ(disowned.size(), 1U);
  EXPECT_EQ(disowned.front().mKeys.front(), (TaskKey{ kJob, 1 }));
}

TEST(ShardOf, KeepsAllJobsOfACustomerTogether)
{
  const CustomerId customer("qoima.kz");
  EXPECT_EQ(ShardOf(JobIdFor(customer, "a1"), 64),
            ShardOf(JobIdFor(customer, "b2"), 64));
  // A fixed value: a build with another hash would lose stored jobs.
  EXPECT_EQ(ShardOf(JobIdFor(CustomerId("trasowka"), "1"), 64), 22U);
}

} // namespace
} // namespace foxtailbarrow
