#include "tests/agent/FakeEntry.h"

#include <algorithm>
#include <chrono>

#include <gtest/gtest.h>

#include "foxtailbarrow/MethodNames.h"
#include "src/core/contract/ConfigurationDelta.h"
#include "src/net/TypedRpc.h"

namespace foxtailbarrow {

namespace {

constexpr Revision kRevision = 5;

constexpr char kContract[] = R"({
  "customer": "trasowka", "team": "team", "service": "mileage",
  "maxCopies": 1, "maxConcurrency": 8, "requestsPerSecond": 100, "burst": 10,
  "batch": {
    "total": { "millicores": 64000, "memoryMb": 256000, "accelerators": 0 },
    "maxRunningJobs": 100, "sharePerWorker": 1.0
  },
  "weights": { "tailLatency": 1, "evictions": 1 }, "urgentAllowed": false
})";

StoreListing MakeListing()
{
  const std::string key = std::string(kContractPrefix) + "trasowka";
  return { { { key, kContract, kRevision, 0 } }, kRevision };
}

} // namespace

FakeEntry::FakeEntry(net::FiberRuntime& aRuntime, ShardId aShards)
  : mShards(aShards)
{
  EXPECT_TRUE(mContracts.ApplyListing(MakeListing()).mErrors.empty());
  net::AddTyped<Heartbeat>(
    mDispatcher, kHeartbeatMethod, [this](const Heartbeat& aHeartbeat) {
      return Answer(aHeartbeat);
    });
  mServer = *net::HttpServer::Start(
    aRuntime, { "127.0.0.1", 0 }, [this](net::HttpRequest& aRequest) {
      return mDispatcher.Handle(aRequest);
    });
}

HeartbeatReply FakeEntry::Answer(const Heartbeat& aHeartbeat)
{
  const std::lock_guard lock(mMutex);
  mNewest = aHeartbeat;
  HeartbeatReply reply;
  reply.mEntry = EntryId("entry1");
  WriteDelta(mContracts.Answer(aHeartbeat), reply);
  for (ShardId shard = 0; shard < mShards; ++shard) {
    reply.mLeases.push_back({ shard, kGeneration, std::chrono::seconds(20) });
  }
  for (const TaskReport& report : aHeartbeat.mTasks) {
    const TaskStatus& status = report.mStatus;
    if (status.mState == TaskState::Running) {
      continue;
    }
    reply.mAcknowledged.push_back(status.mKey);
    const bool isNew =
      std::none_of(mEnds.begin(), mEnds.end(), [&](const TaskStatus& aEnd) {
        return aEnd.mKey == status.mKey;
      });
    if (isNew) {
      mEnds.push_back(status);
    }
  }
  return reply;
}

std::optional<Heartbeat> FakeEntry::Newest() const
{
  const std::lock_guard lock(mMutex);
  return mNewest;
}

std::vector<TaskStatus> FakeEntry::Ends() const
{
  const std::lock_guard lock(mMutex);
  return mEnds;
}

} // namespace foxtailbarrow
