#include "apps/agent/TaskControl.h"

#include <algorithm>
#include <utility>

#include <boost/fiber/operations.hpp>

#include "src/core/job/ShardOf.h"
#include "src/core/message/Codec.h"

namespace foxtailbarrow {

namespace {

/// Longest time between two rounds of the call loop.
constexpr Duration kMaxCallInterval = std::chrono::milliseconds(200);

constexpr Duration kRenewalInterval = std::chrono::seconds(1);

constexpr Duration kPollInterval = std::chrono::milliseconds(5);

Json::Value TaskJson(const AgentTask& aTask)
{
  Json::Value object = ToJson(aTask.mStatus);
  object["shard"] = Json::UInt{ aTask.mShard };
  object["started"] = aTask.mStarted;
  object["why"] = std::string(ToString(aTask.mReason));
  object["fraction"] = aTask.mFraction;
  object["acknowledged"] = aTask.mAcknowledged;
  return object;
}

} // namespace

TaskControl::TaskControl(const AgentSettings& aSettings,
                         Incarnation aIncarnation,
                         net::FiberRuntime& aRuntime,
                         Worker& aWorker,
                         Metrics& aMetrics,
                         OnChange aOnChange,
                         OnUsage aOnUsage)
  : mSettings(aSettings)
  , mWorker(aWorker)
  , mOnChange(std::move(aOnChange))
  , mOnUsage(std::move(aOnUsage))
  , mLedger(aSettings.mServiceReserve)
  , mTable({},
           aIncarnation,
           mLedger,
           [shards = aSettings.mShards](const JobId& aJob) {
             return ShardOf(aJob, shards);
           })
  , mFibers(aRuntime)
  , mGranted(aMetrics.Counter("agent_assignments_granted_total",
                              "Assignments granted"))
  , mRefused(aMetrics.Counter("agent_assignments_refused_total",
                              "Assignments refused"))
  , mWorkerErrors(aMetrics.Counter("agent_worker_errors_total",
                                   "Calls to the worker that failed"))
{
}

void TaskControl::Start()
{
  mFibers.Repeat(mCallWaker, kMaxCallInterval, [this] { MakeCalls(); });
  mFibers.Repeat(mViewWaker, mSettings.mViewInterval, [this] { Poll(); });
  mFibers.Repeat(mRenewWaker, kRenewalInterval, [this] { Renew(); });
}

AssignReply TaskControl::Assign(const foxtailbarrow::Assign& aAssign)
{
  AssignReply reply;
  {
    const std::lock_guard lock(mMutex);
    reply = mTable.Assign(aAssign, MonotonicNow());
  }
  (reply.mGranted ? mGranted : mRefused).Increment();
  mCallWaker.Wake();
  return reply;
}

absl::StatusOr<ControlReply> TaskControl::Control(
  const foxtailbarrow::Control& aControl)
{
  {
    const std::lock_guard lock(mMutex);
    absl::StatusOr<TaskStatus> status =
      mTable.Control(aControl, MonotonicNow());
    if (!status.ok()) {
      return status.status();
    }
    if (aControl.mAction == TaskAction::Throttle ||
        status->mState != TaskState::Running) {
      mCallWaker.Wake();
      return ControlReply{ *std::move(status) };
    }
  }
  mCallWaker.Wake();
  WaitForEnd(aControl.mKey, mSettings.mWorkerTimeout);
  const std::lock_guard lock(mMutex);
  auto status = mTable.StatusOf(aControl.mKey);
  if (!status) {
    return WithVerdict(
      absl::NotFoundError("the task's end has been acknowledged"),
      Verdict::Ran);
  }
  return ControlReply{ *std::move(status) };
}

bool TaskControl::WaitForEnd(const TaskKey& aKey, Duration aTimeout) const
{
  const Instant end = MonotonicNow() + aTimeout;
  while (MonotonicNow() < end) {
    {
      const std::lock_guard lock(mMutex);
      const auto status = mTable.StatusOf(aKey);
      if (!status || status->mState != TaskState::Running) {
        return true;
      }
    }
    boost::this_fiber::sleep_for(kPollInterval);
  }
  return false;
}

void TaskControl::HeartbeatSent(std::uint64_t aSequence, Instant aNow)
{
  const std::lock_guard lock(mMutex);
  mTable.HeartbeatSent(aSequence, aNow);
}

void TaskControl::ApplyReply(std::uint64_t aSequence,
                             const HeartbeatReply& aReply)
{
  {
    const std::lock_guard lock(mMutex);
    mTable.ApplyReply(aSequence, aReply, MonotonicNow());
  }
  if (!aReply.mAcknowledged.empty() || !aReply.mUnknown.empty()) {
    mCallWaker.Wake();
  }
}

void TaskControl::ApplyContract(const Contract& aContract)
{
  const std::lock_guard lock(mMutex);
  mLedger.ApplyContract(aContract);
}

void TaskControl::RemoveContract(const CustomerId& aCustomer)
{
  const std::lock_guard lock(mMutex);
  mLedger.RemoveContract(aCustomer);
}

std::vector<ColocatedTask> TaskControl::ColocatedTasks() const
{
  const std::lock_guard lock(mMutex);
  const auto total = static_cast<double>(
    std::max<std::int64_t>(1, mLedger.Capacity().mMillicores));
  std::vector<ColocatedTask> tasks;
  for (const auto& [key, task] : mTable.Tasks()) {
    if (!task.mStarted || task.Ended()) {
      continue;
    }
    const Contract* const contract = mLedger.ContractOf(task.mStatus.mCustomer);
    ColocatedTask colocated;
    colocated.mKey = key;
    colocated.mClass =
      task.mStatus.mCustomer.Value() + "/" + task.mStart.mProgram;
    colocated.mEvictable = task.mStatus.mKind == JobKind::Batch;
    colocated.mEvictionWeight =
      contract == nullptr ? 1.0 : contract->mWeights.mEvictions;
    colocated.mReserved =
      static_cast<double>(task.mStatus.mReserved.mMillicores) / total;
    tasks.push_back(std::move(colocated));
  }
  return tasks;
}

double TaskControl::LatencyWeight() const
{
  const std::lock_guard lock(mMutex);
  double weight = 0.0;
  for (const auto& [customer, contract] : mLedger.Contracts()) {
    if (contract.mService == mSettings.mService) {
      weight = std::max(weight, contract.mWeights.mTailLatency);
    }
  }
  return weight > 0.0 ? weight : 1.0;
}

void TaskControl::Throttle(const TaskKey& aKey, double aFraction)
{
  {
    const std::lock_guard lock(mMutex);
    mTable.Throttle(aKey, aFraction);
  }
  mCallWaker.Wake();
}

void TaskControl::Evict(const TaskKey& aKey, Reason aReason)
{
  {
    const std::lock_guard lock(mMutex);
    mTable.Evict(aKey, aReason);
  }
  mCallWaker.Wake();
}

void TaskControl::Drain()
{
  {
    const std::lock_guard lock(mMutex);
    mTable.Drain();
  }
  mCallWaker.Wake();
}

bool TaskControl::Empty() const
{
  const std::lock_guard lock(mMutex);
  return mTable.Empty();
}

bool TaskControl::AllEnded() const
{
  const std::lock_guard lock(mMutex);
  return mTable.EndedTasks() == mTable.Tasks().size();
}

void TaskControl::Fill(Heartbeat& aHeartbeat) const
{
  const std::lock_guard lock(mMutex);
  aHeartbeat.mTasks = mTable.Reports();
  aHeartbeat.mLoad.mCapacity = mLedger.Capacity();
  aHeartbeat.mLoad.mReserved = mLedger.Reserved();
}

Json::Value TaskControl::LedgerJson() const
{
  const std::lock_guard lock(mMutex);
  Json::Value object(Json::objectValue);
  object["ready"] = mLedger.Ready();
  object["capacity"] = ToJson(mLedger.Capacity());
  object["reserved"] = ToJson(mLedger.Reserved());
  object["service"] = ToJson(mLedger.Service());
  object["free"] = ToJson(mLedger.Free());
  object["tasks"] = Json::UInt64{ mLedger.Tasks() };
  return object;
}

Json::Value TaskControl::TasksJson() const
{
  const std::lock_guard lock(mMutex);
  Json::Value list(Json::arrayValue);
  const Instant now = MonotonicNow();
  for (const auto& [key, task] : mTable.Tasks()) {
    Json::Value object = TaskJson(task);
    object["leaseLeftUs"] =
      Json::Int64{ mTable.Leases().Left(task.mShard, now).count() };
    list.append(std::move(object));
  }
  return list;
}

} // namespace foxtailbarrow
