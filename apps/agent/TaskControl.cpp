#include "apps/agent/TaskControl.h"

#include <utility>
#include <variant>

#include <boost/fiber/operations.hpp>

#include "src/core/job/ShardOf.h"
#include "src/core/message/Codec.h"
#include "src/telemetry/Log.h"

namespace foxtailbarrow {

namespace {

/// Longest time between two rounds of the call loop.
constexpr Duration kRound = std::chrono::milliseconds(200);

/// A call that was decided longer ago is decided anew: the process may have
/// been frozen, and a lease may have lapsed.
constexpr Duration kStaleDecision = std::chrono::milliseconds(250);

/// Leases are renewed this often.
constexpr Duration kRenewal = std::chrono::seconds(1);

constexpr Duration kPoll = std::chrono::milliseconds(5);

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
                         OnNews aOnNews)
  : mSettings(aSettings)
  , mWorker(aWorker)
  , mOnNews(std::move(aOnNews))
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
  mFibers.Repeat(mCallPoke, kRound, [this] { MakeCalls(); });
  mFibers.Repeat(mViewPoke, mSettings.mViewInterval, [this] { Look(); });
  mFibers.Repeat(mRenewPoke, kRenewal, [this] { Renew(); });
}

AssignReply TaskControl::Assign(const foxtailbarrow::Assign& aAssign)
{
  AssignReply reply;
  {
    const std::lock_guard lock(mMutex);
    reply = mTable.Assign(aAssign, MonotonicNow());
  }
  (reply.mGranted ? mGranted : mRefused).Increment();
  mCallPoke.Now();
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
      mCallPoke.Now();
      return ControlReply{ *std::move(status) };
    }
  }
  mCallPoke.Now();
  WaitForEnd(aControl.mKey, mSettings.mWorkerTimeout);
  const std::lock_guard lock(mMutex);
  auto status = mTable.StatusOf(aControl.mKey);
  if (!status) {
    return WithVerdict(absl::NotFoundError("the task was acknowledged"),
                       Verdict::Ran);
  }
  return ControlReply{ *std::move(status) };
}

bool TaskControl::WaitForEnd(const TaskKey& aKey, Duration aLongest) const
{
  const Instant end = MonotonicNow() + aLongest;
  while (MonotonicNow() < end) {
    {
      const std::lock_guard lock(mMutex);
      const auto status = mTable.StatusOf(aKey);
      if (!status || status->mState != TaskState::Running) {
        return true;
      }
    }
    boost::this_fiber::sleep_for(kPoll);
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
    mCallPoke.Now();
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

void TaskControl::Drain()
{
  {
    const std::lock_guard lock(mMutex);
    mTable.Drain();
  }
  mCallPoke.Now();
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

void TaskControl::MakeCalls()
{
  const Instant now = MonotonicNow();
  std::vector<WorkerCall> calls;
  {
    const std::lock_guard lock(mMutex);
    calls = mTable.Due(now);
  }
  for (WorkerCall& call : calls) {
    mFibers.Spawn([this, call = std::move(call), now] { Perform(call, now); });
  }
}

void TaskControl::Look()
{
  const Instant askedAt = MonotonicNow();
  const absl::StatusOr<WorkerView> view = mWorker.View();
  if (!view.ok()) {
    mWorkerErrors.Increment();
    return;
  }
  std::size_t endedBefore = 0;
  std::size_t endedAfter = 0;
  {
    const std::lock_guard lock(mMutex);
    endedBefore = mTable.EndedTasks();
    mTable.Observe(*view, askedAt, MonotonicNow());
    endedAfter = mTable.EndedTasks();
  }
  if (!mReady.exchange(true)) {
    LogChange("ledger-rebuilt", { { "tasks", view->mTasks.size() } });
    mOnNews();
  } else if (endedAfter > endedBefore) {
    mOnNews();
  }
}

void TaskControl::Renew()
{
  std::vector<CallRenew> renewals;
  {
    const std::lock_guard lock(mMutex);
    renewals = mTable.Renewals(MonotonicNow());
  }
  for (const CallRenew& renewal : renewals) {
    PerformOne(renewal);
  }
}

void TaskControl::Perform(const WorkerCall& aCall, Instant aDecidedAt)
{
  if (MonotonicNow() - aDecidedAt > kStaleDecision) {
    GiveBack(aCall);
    return;
  }
  std::visit([this](const auto& aOne) { PerformOne(aOne); }, aCall);
  mCallPoke.Now();
}

void TaskControl::PerformOne(const CallStart& aCall)
{
  const absl::Status result = mWorker.Start(aCall.mStart);
  const std::lock_guard lock(mMutex);
  mTable.StartDone(aCall.mStart.mKey, result, MonotonicNow());
}

void TaskControl::PerformOne(const CallStop& aCall)
{
  const absl::Status result = mWorker.Stop(aCall.mKey);
  {
    const std::lock_guard lock(mMutex);
    mTable.StopDone(aCall.mKey, result, MonotonicNow());
  }
  mViewPoke.Now();
}

void TaskControl::PerformOne(const CallCheckpoint& aCall)
{
  const absl::StatusOr<std::string> result = mWorker.Checkpoint(aCall.mKey);
  {
    const std::lock_guard lock(mMutex);
    mTable.CheckpointDone(aCall.mKey, result, MonotonicNow());
  }
  if (result.ok()) {
    mOnNews();
  } else {
    mViewPoke.Now();
  }
}

void TaskControl::PerformOne(const CallThrottle& aCall)
{
  const absl::Status result = mWorker.Throttle(aCall.mKey, aCall.mFraction);
  const std::lock_guard lock(mMutex);
  mTable.ThrottleDone(aCall.mKey, aCall.mFraction, result, MonotonicNow());
}

void TaskControl::PerformOne(const CallAcknowledge& aCall)
{
  const absl::Status result = mWorker.Acknowledge(aCall.mKeys);
  const std::lock_guard lock(mMutex);
  mTable.AcknowledgeDone(aCall.mKeys, result, MonotonicNow());
}

void TaskControl::PerformOne(const CallRenew& aCall)
{
  if (!mWorker.Renew(aCall.mKeys, aCall.mLease).ok()) {
    mWorkerErrors.Increment();
  }
}

void TaskControl::GiveBack(const WorkerCall& aCall)
{
  const absl::Status late =
    WithVerdict(absl::AbortedError("decided too long ago"), Verdict::NotRun);
  const Instant now = MonotonicNow();
  const std::lock_guard lock(mMutex);
  if (const auto* const start = std::get_if<CallStart>(&aCall)) {
    mTable.StartDone(start->mStart.mKey, late, now);
  } else if (const auto* const stop = std::get_if<CallStop>(&aCall)) {
    mTable.StopDone(stop->mKey, late, now);
  } else if (const auto* const write = std::get_if<CallCheckpoint>(&aCall)) {
    mTable.CheckpointDone(write->mKey, late, now);
  } else if (const auto* const slow = std::get_if<CallThrottle>(&aCall)) {
    mTable.ThrottleDone(slow->mKey, slow->mFraction, late, now);
  } else if (const auto* const known = std::get_if<CallAcknowledge>(&aCall)) {
    mTable.AcknowledgeDone(known->mKeys, late, now);
  }
}

} // namespace foxtailbarrow
