#include <algorithm>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "src/core/agent/TaskTable.h"

/// Checks the lease arithmetic under random schedules of heartbeats, delayed
/// replies, assignments, pauses and calls to the worker.
namespace foxtailbarrow {
namespace {

constexpr ShardId kShards = 3;
constexpr Duration kTtl = std::chrono::seconds(20);
const CustomerId kCustomer("c");

/// Until when the owner must assume that a shard's tasks run.
struct OwnerBound
{
  Instant mUntil{};
};

struct Sent
{
  std::uint64_t mSequence = 0;
  Instant mAt{};
};

class LeaseModel
{
public:
  LeaseModel()
    : mLedger({})
    , mTable({}, 1, mLedger, [](const JobId&) { return ShardId{ 0 }; })
  {
    Contract contract;
    contract.mCustomer = kCustomer;
    contract.mBatch.mSharePerWorker = 1.0;
    mLedger.ApplyContract(contract);
    WorkerView view;
    view.mCapacity = mCapacity;
    mTable.Observe(view, mNow, mNow);
  }

  void Step(std::uint32_t aChoice)
  {
    const ShardId shard = (aChoice >> 8) % kShards;
    mNow += std::chrono::milliseconds((aChoice >> 16) % 700);
    switch (aChoice % 8) {
      case 0:
      case 1:
        mTable.HeartbeatSent(++mSequence, mNow);
        mSent.push_back({ mSequence, mNow });
        break;
      case 2:
      case 3:
        Reply(aChoice >> 10);
        break;
      case 4:
        Assign(shard, aChoice >> 10);
        break;
      case 5: // The process is paused, or the entries are unreachable.
        mNow += std::chrono::seconds((aChoice >> 12) % 40);
        break;
      default:
        break;
    }
    RunWorkerCalls();
  }

private:
  /// Delivers the owner's reply to one of the last heartbeats.
  void Reply(std::uint32_t aChoice)
  {
    if (mSent.empty()) {
      return;
    }
    const std::size_t age = aChoice % std::min<std::size_t>(4, mSent.size());
    const Sent& sent = mSent[mSent.size() - 1 - age];
    HeartbeatReply reply;
    const ShardId shard = (aChoice >> 4) % kShards;
    reply.mLeases.push_back({ shard, 1, kTtl });
    // The owner answered between the sending and now; the earliest time is the
    // strictest.
    Instant& until = mOwner[shard].mUntil;
    until = std::max(until, sent.mAt + kTtl);
    mTable.ApplyReply(sent.mSequence, reply, mNow);
  }

  void Assign(ShardId aShard, std::uint32_t aChoice)
  {
    if (mSent.empty()) {
      return;
    }
    const std::size_t age = aChoice % mSent.size();
    const Sent& sent = mSent[mSent.size() - 1 - age];
    foxtailbarrow::Assign assign;
    assign.mShard = aShard;
    assign.mGeneration = 1;
    assign.mIncarnation = 1;
    assign.mSequence = sent.mSequence;
    assign.mTask.mKey = { JobId("c." + std::to_string(++mJobs)), 1 };
    assign.mTask.mCustomer = kCustomer;
    assign.mTask.mResources = { 100, 100, 0 };
    assign.mTask.mLease = kTtl;
    const AssignReply reply = mTable.Assign(assign, mNow);
    if (reply.mGranted) {
      Instant& until = mOwner[aShard].mUntil;
      until = std::max(until, sent.mAt + kTtl);
    }
    RC_ASSERT(!reply.mGranted || sent.mAt + kTtl > mNow);
  }

  void RunWorkerCalls()
  {
    for (const WorkerCall& call : mTable.Due(mNow)) {
      if (const auto* const start = std::get_if<CallStart>(&call)) {
        CheckLease(start->mStart.mKey, start->mStart.mLease);
        mTable.StartDone(start->mStart.mKey, absl::OkStatus(), mNow);
      } else if (const auto* const stop = std::get_if<CallStop>(&call)) {
        mTable.StopDone(stop->mKey, absl::NotFoundError(""), mNow);
      } else if (const auto* const write = std::get_if<CallCheckpoint>(&call)) {
        mTable.CheckpointDone(write->mKey, std::string("ref"), mNow);
      }
    }
    for (const CallRenew& renewal : mTable.Renewals(mNow)) {
      for (const TaskKey& key : renewal.mKeys) {
        CheckLease(key, renewal.mLease);
      }
    }
    RC_ASSERT(mLedger.Reserved().FitsIn(mCapacity));
    CheckNothingRunsBeyondItsLease();
  }

  void CheckLease(const TaskKey& aKey, Duration aLease)
  {
    RC_ASSERT(aLease > Duration{});
    const ShardId shard = mTable.Tasks().at(aKey).mShard;
    RC_ASSERT(mNow + aLease <= mOwner[shard].mUntil);
  }

  void CheckNothingRunsBeyondItsLease()
  {
    for (const auto& [key, task] : mTable.Tasks()) {
      RC_ASSERT(task.Ended() || mNow < mOwner[task.mShard].mUntil);
    }
  }

  const Resources mCapacity{ 1'000, 1'000, 0 };
  CapacityLedger mLedger;
  TaskTable mTable;
  Instant mNow{ std::chrono::hours(1) };
  std::uint64_t mSequence = 0;
  std::uint32_t mJobs = 0;
  std::vector<Sent> mSent;
  std::map<ShardId, OwnerBound> mOwner;
};

RC_GTEST_PROP(TaskLease, NeverExceedsTheOwnersBound, ())
{
  LeaseModel model;
  const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
    rc::gen::arbitrary<std::uint32_t>());
  for (const std::uint32_t step : steps) {
    model.Step(step);
  }
}

struct GenerationCase
{
  const char* mName;
  Generation mGeneration;
  bool mExtends;
};

class ShardGeneration : public testing::TestWithParam<GenerationCase>
{};

TEST_P(ShardGeneration, FencesFormerOwners)
{
  const Instant now{ std::chrono::hours(1) };
  ShardLeases leases;
  ASSERT_TRUE(leases.Extend(1, 5, now, kTtl));
  EXPECT_EQ(leases.Extend(1, GetParam().mGeneration, now, 2 * kTtl),
            GetParam().mExtends);
  EXPECT_EQ(leases.Left(1, now), GetParam().mExtends ? 2 * kTtl : kTtl);
  EXPECT_TRUE(leases.Extend(2, GetParam().mGeneration, now, kTtl));
}

INSTANTIATE_TEST_SUITE_P(All,
                         ShardGeneration,
                         testing::Values(GenerationCase{ "former", 4, false },
                                         GenerationCase{ "same", 5, true },
                                         GenerationCase{ "later", 6, true }),
                         [](const auto& aInfo) {
                           return std::string(aInfo.param.mName);
                         });

} // namespace
} // namespace foxtailbarrow
