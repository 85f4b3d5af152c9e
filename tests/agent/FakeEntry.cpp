#include "tests/agent/FakeEntry.h"

#include <algorithm>
#include <chrono>

#include "foxtailbarrow/MethodNames.h"
#include "src/core/message/Codec.h"

namespace foxtailbarrow {

namespace {

constexpr Revision kRevision = 5;

Contract MakeContract()
{
  Contract contract;
  contract.mCustomer = CustomerId("trasowka");
  contract.mTeam = TeamId("team");
  contract.mService = ServiceId("mileage");
  contract.mMaxCopies = 1;
  contract.mMaxConcurrency = 8;
  contract.mRequestsPerSecond = 100;
  contract.mBurst = 10;
  contract.mBatch = { { 64'000, 256'000, 0 }, 100, 1.0 };
  contract.mRevision = kRevision;
  return contract;
}

} // namespace

FakeEntry::FakeEntry(net::FiberRuntime& aRuntime, ShardId aShards)
  : mShards(aShards)
{
  mDispatcher.Add(
    kHeartbeatMethod,
    [this](const Json::Value& aParams) -> absl::StatusOr<Json::Value> {
      const auto heartbeat = FromJson<Heartbeat>(aParams);
      if (!heartbeat.ok()) {
        return heartbeat.status();
      }
      return ToJson(Answer(*heartbeat));
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
  reply.mConfiguration = kRevision;
  if (aHeartbeat.mConfiguration < kRevision) {
    reply.mContracts.push_back(MakeContract());
  }
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
