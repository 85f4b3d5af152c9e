#include "src/core/agent/TaskTable.h"

#include <functional>
#include <string>
#include <variant>
#include <vector>

#include <gtest/gtest.h>

namespace foxtailbarrow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Instant kNow{ std::chrono::hours(1) };
const CustomerId kCustomer("trasowka");
constexpr ShardId kShard = 3;
constexpr Generation kGeneration = 7;
constexpr Incarnation kIncarnation = 42;
const TaskKey kKey{ JobId("trasowka.1"), 5 };

class TaskTableTest : public testing::Test
{
protected:
  TaskTableTest()
    : mLedger({})
    , mTable({}, kIncarnation, mLedger, [](const JobId&) { return kShard; })
  {
    Contract contract;
    contract.mCustomer = kCustomer;
    contract.mBatch.mSharePerWorker = 1.0;
    mLedger.ApplyContract(contract);
    mView.mCapacity = { 4'000, 4'000, 0 };
    mTable.Observe(mView, kNow, kNow);
    mTable.HeartbeatSent(1, kNow);
    mTable.ApplyReply(1, Leases(seconds(20)), kNow);
  }

  static HeartbeatReply Leases(Duration aTtl)
  {
    HeartbeatReply reply;
    reply.mLeases.push_back({ kShard, kGeneration, aTtl });
    return reply;
  }

  static Assign MakeAssign(TaskKey aKey = kKey)
  {
    Assign assign;
    assign.mShard = kShard;
    assign.mGeneration = kGeneration;
    assign.mIncarnation = kIncarnation;
    assign.mSequence = 1;
    assign.mTask.mKey = std::move(aKey);
    assign.mTask.mCustomer = kCustomer;
    assign.mTask.mResources = { 1'000, 1'000, 0 };
    assign.mTask.mLease = seconds(20);
    return assign;
  }

  static Control MakeControl(TaskAction aAction, Reason aReason)
  {
    Control control;
    control.mShard = kShard;
    control.mGeneration = kGeneration;
    control.mKey = kKey;
    control.mAction = aAction;
    control.mReason = aReason;
    return control;
  }

  /// The only call that is due, which must be a `Call`.
  template<typename Call>
  Call DueCall(Instant aNow)
  {
    const std::vector<WorkerCall> calls = mTable.Due(aNow);
    EXPECT_EQ(calls.size(), 1U);
    if (calls.size() != 1 || !std::holds_alternative<Call>(calls[0])) {
      ADD_FAILURE() << "another call, or none, is due";
      return {};
    }
    return std::get<Call>(calls[0]);
  }

  void AssignAndStart()
  {
    ASSERT_TRUE(mTable.Assign(MakeAssign(), kNow).mGranted);
    EXPECT_EQ(DueCall<CallStart>(kNow).mStart.mKey, kKey);
    mTable.StartDone(kKey, absl::OkStatus(), kNow);
  }

  /// Sets the task's state in the worker's view.
  void SetView(TaskState aState, std::string aCheckpoint = {})
  {
    TaskStatus status;
    status.mKey = kKey;
    status.mCustomer = kCustomer;
    status.mState = aState;
    status.mReserved = { 1'000, 1'000, 0 };
    status.mCheckpoint = std::move(aCheckpoint);
    mView.mTasks = { status };
  }

  const TaskStatus& Status() const { return mTable.Tasks().at(kKey).mStatus; }

  CapacityLedger mLedger;
  TaskTable mTable;
  WorkerView mView;
};

struct FenceCase
{
  const char* mName;
  std::function<void(Assign&)> mChange;
  Duration mLater;
  Reason mReason;
};

class TaskFence
  : public TaskTableTest
  , public testing::WithParamInterface<FenceCase>
{};

TEST_P(TaskFence, KeepsARefusalFinal)
{
  Assign assign = MakeAssign();
  GetParam().mChange(assign);
  const Instant later = kNow + GetParam().mLater;
  const AssignReply reply = mTable.Assign(assign, later);
  EXPECT_EQ(reply.mGranted, GetParam().mReason == Reason::None);
  EXPECT_EQ(reply.mReason, GetParam().mReason);
  if (reply.mGranted) {
    EXPECT_TRUE(mTable.Assign(assign, later).mGranted) << "a repeated message";
    return;
  }
  EXPECT_EQ(reply.mVerdict, Verdict::NotRun);
  EXPECT_EQ(mLedger.Tasks(), 0U);
  // A fresh heartbeat renews the lease; the refused key stays refused.
  mTable.HeartbeatSent(2, later);
  mTable.ApplyReply(2, Leases(seconds(20)), later);
  Assign again = MakeAssign(assign.mTask.mKey);
  again.mSequence = 2;
  EXPECT_FALSE(mTable.Assign(again, later).mGranted);
}

INSTANTIATE_TEST_SUITE_P(
  All,
  TaskFence,
  testing::Values(
    FenceCase{ "valid", [](Assign&) {}, {}, Reason::None },
    FenceCase{ "laterOwner",
               [](Assign& aAssign) { aAssign.mGeneration = kGeneration + 1; },
               {},
               Reason::None },
    FenceCase{ "formerOwner",
               [](Assign& aAssign) { aAssign.mGeneration = kGeneration - 1; },
               {},
               Reason::StaleEpoch },
    FenceCase{ "formerIncarnation",
               [](Assign& aAssign) { aAssign.mIncarnation = 41; },
               {},
               Reason::LeaseLapsed },
    FenceCase{ "unknownHeartbeat",
               [](Assign& aAssign) { aAssign.mSequence = 99; },
               {},
               Reason::LeaseLapsed },
    FenceCase{ "delayedBeyondItsLease",
               [](Assign&) {},
               seconds(20),
               Reason::LeaseLapsed },
    FenceCase{ "noLease",
               [](Assign& aAssign) {
                 aAssign.mSequence = 0;
                 aAssign.mShard = kShard + 1;
               },
               {},
               Reason::WaitingForLease },
    FenceCase{
      "tooLarge",
      [](Assign& aAssign) { aAssign.mTask.mResources.mMemoryMb = 4'001; },
      {},
      Reason::CapacityTaken }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

TEST_F(TaskTableTest, RefusesALowerEpochAndAHigherOneWhileTheTaskRuns)
{
  AssignAndStart();
  EXPECT_EQ(mTable.Assign(MakeAssign({ kKey.mJob, 4 }), kNow).mReason,
            Reason::StaleEpoch);
  EXPECT_EQ(mTable.Assign(MakeAssign({ kKey.mJob, 6 }), kNow).mReason,
            Reason::WaitingForLease);
}

TEST_F(TaskTableTest, RefusesAnAssignmentThatWasStoppedBeforeItArrived)
{
  const auto stopped = mTable.Control(
    MakeControl(TaskAction::Stop, Reason::CancelRequested), kNow);
  ASSERT_TRUE(stopped.ok());
  EXPECT_EQ(stopped->mState, TaskState::Stopped);
  EXPECT_EQ(mTable.Assign(MakeAssign(), kNow).mReason, Reason::CancelRequested);
}

TEST_F(TaskTableTest, RefusesADelayedCopyAfterTheRefusalWasDropped)
{
  Assign first = MakeAssign();
  first.mTask.mResources.mMemoryMb = 4'001;
  EXPECT_FALSE(mTable.Assign(first, kNow).mGranted);
  for (int i = 0; i < 5'000; ++i) {
    Assign other = first;
    other.mTask.mKey.mJob = JobId("other." + std::to_string(i));
    mTable.Assign(other, kNow);
  }
  EXPECT_FALSE(mTable.Assign(MakeAssign(), kNow).mGranted);
  mTable.HeartbeatSent(2, kNow);
  Assign fresh = MakeAssign({ kKey.mJob, 6 });
  fresh.mSequence = 2;
  EXPECT_TRUE(mTable.Assign(fresh, kNow).mGranted);
}

TEST_F(TaskTableTest, ReportsAnEndUntilItIsAcknowledged)
{
  AssignAndStart();
  SetView(TaskState::Finished);
  mTable.Observe(mView, kNow + seconds(1), kNow + seconds(1));
  EXPECT_EQ(mLedger.Tasks(), 0U);
  ASSERT_EQ(mTable.Reports().size(), 1U);
  EXPECT_EQ(mTable.Reports()[0].mStatus.mState, TaskState::Finished);
  EXPECT_TRUE(mTable.Due(kNow + seconds(1)).empty());
  HeartbeatReply reply = Leases(seconds(20));
  reply.mAcknowledged = { kKey };
  mTable.ApplyReply(1, reply, kNow + seconds(1));
  const auto call = DueCall<CallAcknowledge>(kNow + seconds(1));
  mTable.AcknowledgeDone(call.mKeys, absl::OkStatus(), kNow + seconds(1));
  EXPECT_TRUE(mTable.Empty());
  EXPECT_EQ(mTable.Assign(MakeAssign(), kNow + seconds(1)).mReason,
            Reason::StaleEpoch)
    << "a late copy of the assignment";
  mTable.Observe(mView, kNow, kNow + seconds(2));
  EXPECT_TRUE(mTable.Empty()) << "an old view brought the task back";
}

struct StopCase
{
  const char* mName;
  std::function<void(TaskTable&)> mCause;
  Duration mLater;
  Reason mReason;
  bool mCheckpoints;
};

class TaskStop
  : public TaskTableTest
  , public testing::WithParamInterface<StopCase>
{};

TEST_P(TaskStop, IsRequestedFromTheWorkerAndReportedOnce)
{
  AssignAndStart();
  GetParam().mCause(mTable);
  const Instant later = kNow + GetParam().mLater;
  const std::string reason(ToString(GetParam().mReason));
  if (GetParam().mCheckpoints) {
    EXPECT_EQ(DueCall<CallCheckpoint>(later).mKey, kKey);
    mTable.CheckpointDone(kKey, std::string("ref"), later);
    EXPECT_EQ(Status().mState, TaskState::Checkpointed);
    EXPECT_EQ(Status().mCheckpoint, "ref");
  } else {
    EXPECT_EQ(DueCall<CallStop>(later).mKey, kKey);
    mTable.StopDone(kKey, absl::OkStatus(), later);
    EXPECT_EQ(Status().mState, TaskState::Running) << "its end is unknown yet";
    SetView(TaskState::Stopped);
    mTable.Observe(mView, later, later);
    EXPECT_EQ(Status().mState, TaskState::Stopped);
  }
  EXPECT_EQ(Status().mReason, reason);
  EXPECT_EQ(mLedger.Tasks(), 0U);
  EXPECT_TRUE(mTable.Due(later).empty());
  EXPECT_TRUE(mTable.Renewals(later).empty());
}

INSTANTIATE_TEST_SUITE_P(
  All,
  TaskStop,
  testing::Values(StopCase{ "evicted",
                            [](TaskTable& aTable) {
                              aTable.Evict(kKey, Reason::EvictedForLatency);
                            },
                            {},
                            Reason::EvictedForLatency,
                            true },
                  StopCase{ "drained",
                            [](TaskTable& aTable) { aTable.Drain(); },
                            {},
                            Reason::EvictedForDrain,
                            true },
                  StopCase{ "leaseAboutToLapse",
                            [](TaskTable&) {},
                            seconds(15),
                            Reason::LeaseLapsed,
                            true },
                  StopCase{ "wokeAfterTheLease",
                            [](TaskTable&) {},
                            seconds(60),
                            Reason::LeaseLapsed,
                            false },
                  StopCase{ "disowned",
                            [](TaskTable& aTable) {
                              HeartbeatReply reply;
                              reply.mUnknown = { kKey };
                              aTable.ApplyReply(1, reply, kNow);
                            },
                            {},
                            Reason::StaleEpoch,
                            false }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

TEST_F(TaskTableTest, ReportsATaskThatFinishedBeforeItsStop)
{
  AssignAndStart();
  ASSERT_TRUE(
    mTable.Control(MakeControl(TaskAction::Stop, Reason::CancelRequested), kNow)
      .ok());
  DueCall<CallStop>(kNow);
  mTable.StopDone(kKey, absl::OkStatus(), kNow);
  SetView(TaskState::Finished);
  mTable.Observe(mView, kNow, kNow);
  EXPECT_EQ(Status().mState, TaskState::Finished);
  EXPECT_EQ(Status().mReason, "");
}

TEST_F(TaskTableTest, RepeatsAStartWhoseReplyWasLost)
{
  ASSERT_TRUE(mTable.Assign(MakeAssign(), kNow).mGranted);
  DueCall<CallStart>(kNow);
  mTable.StartDone(kKey, absl::UnavailableError("lost"), kNow);
  EXPECT_TRUE(mTable.Due(kNow).empty());
  EXPECT_EQ(mLedger.Tasks(), 1U);
  DueCall<CallStart>(kNow + seconds(1));
}

TEST_F(TaskTableTest, ReportsATaskThatNeverStartsAsFailed)
{
  ASSERT_TRUE(mTable.Assign(MakeAssign(), kNow).mGranted);
  Instant now = kNow;
  for (int i = 0; i < TaskTableLimits{}.mMaxTries; ++i) {
    DueCall<CallStart>(now);
    mTable.StartDone(kKey, absl::UnavailableError("down"), now);
    now += seconds(1);
  }
  DueCall<CallStop>(now);
  mTable.StopDone(kKey, absl::NotFoundError("unknown"), now);
  EXPECT_EQ(Status().mState, TaskState::Failed);
  EXPECT_EQ(mLedger.Tasks(), 0U);
}

TEST_F(TaskTableTest, ReportsATaskThatTheWorkerLost)
{
  AssignAndStart();
  mTable.Observe(mView, kNow - seconds(1), kNow);
  EXPECT_EQ(Status().mState, TaskState::Running) << "the view is too old";
  mTable.Observe(mView, kNow, kNow);
  EXPECT_EQ(Status().mState, TaskState::Stopped);
  EXPECT_EQ(Status().mReason, "lost-by-worker");
}

TEST_F(TaskTableTest, AdoptsRunningTasksAfterARestart)
{
  SetView(TaskState::Running);
  mTable.Observe(mView, kNow, kNow);
  EXPECT_EQ(mLedger.Reserved(), (Resources{ 1'000, 1'000, 0 }));
  ASSERT_EQ(mTable.Reports().size(), 1U);
  EXPECT_EQ(mTable.Reports()[0].mShard, kShard);
  ASSERT_EQ(mTable.Renewals(kNow).size(), 1U);
}

} // namespace
} // namespace foxtailbarrow
