#include <utility>
#include <variant>

#include "apps/agent/TaskControl.h"
#include "src/telemetry/Log.h"

/// The worker calls of TaskControl.
namespace foxtailbarrow {

namespace {

/// A call that was decided longer ago is not made but decided again, since the
/// process may have been paused and a lease may have lapsed.
constexpr Duration kMaxDecisionAge = std::chrono::milliseconds(250);

} // namespace

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

void TaskControl::Poll()
{
  const Instant askedAt = MonotonicNow();
  const absl::StatusOr<WorkerView> view = mWorker.View();
  if (!view.ok()) {
    mWorkerErrors.Increment();
    return;
  }
  ReportUsage(*view, askedAt);
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
    mOnChange();
  } else if (endedAfter > endedBefore) {
    mOnChange();
  }
}

void TaskControl::ReportUsage(const WorkerView& aView, Instant aAskedAt)
{
  if (aView.mCapacity.mMillicores <= 0) {
    return;
  }
  const auto total = static_cast<double>(aView.mCapacity.mMillicores);
  for (const UsageSample& sample : aView.mUsage) {
    mOnUsage(sample.mKey,
             static_cast<double>(sample.mUsed.mMillicores) / total,
             aAskedAt - sample.mAge);
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
    Call(renewal);
  }
}

void TaskControl::Perform(const WorkerCall& aCall, Instant aDecidedAt)
{
  if (MonotonicNow() - aDecidedAt > kMaxDecisionAge) {
    ReportNotRun(aCall);
    return;
  }
  std::visit([this](const auto& aTyped) { Call(aTyped); }, aCall);
  mCallWaker.Wake();
}

void TaskControl::Call(const CallStart& aCall)
{
  const absl::Status result = mWorker.Start(aCall.mStart);
  const std::lock_guard lock(mMutex);
  mTable.StartDone(aCall.mStart.mKey, result, MonotonicNow());
}

void TaskControl::Call(const CallStop& aCall)
{
  const absl::Status result = mWorker.Stop(aCall.mKey);
  {
    const std::lock_guard lock(mMutex);
    mTable.StopDone(aCall.mKey, result, MonotonicNow());
  }
  mViewWaker.Wake();
}

void TaskControl::Call(const CallCheckpoint& aCall)
{
  const absl::StatusOr<std::string> result = mWorker.Checkpoint(aCall.mKey);
  {
    const std::lock_guard lock(mMutex);
    mTable.CheckpointDone(aCall.mKey, result, MonotonicNow());
  }
  if (result.ok()) {
    mOnChange();
  } else {
    mViewWaker.Wake();
  }
}

void TaskControl::Call(const CallThrottle& aCall)
{
  const absl::Status result = mWorker.Throttle(aCall.mKey, aCall.mFraction);
  const std::lock_guard lock(mMutex);
  mTable.ThrottleDone(aCall.mKey, aCall.mFraction, result, MonotonicNow());
}

void TaskControl::Call(const CallAcknowledge& aCall)
{
  const absl::Status result = mWorker.Acknowledge(aCall.mKeys);
  const std::lock_guard lock(mMutex);
  mTable.AcknowledgeDone(aCall.mKeys, result, MonotonicNow());
}

void TaskControl::Call(const CallRenew& aCall)
{
  if (!mWorker.Renew(aCall.mKeys, aCall.mLease).ok()) {
    mWorkerErrors.Increment();
  }
}

void TaskControl::ReportNotRun(const WorkerCall& aCall)
{
  const absl::Status tooLate =
    WithVerdict(absl::AbortedError("the decision is too old"), Verdict::NotRun);
  const Instant now = MonotonicNow();
  const std::lock_guard lock(mMutex);
  if (const auto* const start = std::get_if<CallStart>(&aCall)) {
    mTable.StartDone(start->mStart.mKey, tooLate, now);
  } else if (const auto* const stop = std::get_if<CallStop>(&aCall)) {
    mTable.StopDone(stop->mKey, tooLate, now);
  } else if (const auto* const checkpoint =
               std::get_if<CallCheckpoint>(&aCall)) {
    mTable.CheckpointDone(checkpoint->mKey, tooLate, now);
  } else if (const auto* const throttle = std::get_if<CallThrottle>(&aCall)) {
    mTable.ThrottleDone(throttle->mKey, throttle->mFraction, tooLate, now);
  } else if (const auto* const acknowledge =
               std::get_if<CallAcknowledge>(&aCall)) {
    mTable.AcknowledgeDone(acknowledge->mKeys, tooLate, now);
  }
}

} // namespace foxtailbarrow
