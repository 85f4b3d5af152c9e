#include "apps/taskagent/WorkerControl.h"

#include <algorithm>
#include <vector>

#include <boost/fiber/fiber.hpp>

#include "absl/status/status.h"

#include "apps/taskagent/WorkerTimeouts.h"
#include "foxtailbarrow/Verdict.h"
#include "src/telemetry/Log.h"

/// Orders of the cell's owner to the worker.
namespace foxtailbarrow::taskagent {

using cell::StartOutcome;

namespace {

constexpr int kStopAttempts = 3;

StartOutcome OutcomeOf(const absl::Status& aStatus)
{
  return absl::IsUnavailable(aStatus) || absl::IsAborted(aStatus)
           ? StartOutcome::Unhealthy
           : StartOutcome::NotStarted;
}

} // namespace

cell::OrderReply WorkerControl::CarryOut(const cell::OrderRequest& aOrders)
{
  cell::OrderReply reply;
  if (!InForce(aOrders)) {
    return reply;
  }
  for (const cell::TaskMetadata& metadata : aOrders.mMetadata) {
    mThrottleController.SetMetadata(metadata);
    mGate.SetReservation(metadata.mTask, metadata.mReserved);
  }
  bool settled = true;
  std::vector<boost::fibers::fiber> calls;
  for (const cell::StopOrder& order : aOrders.mStops) {
    calls.emplace_back([this, &aOrders, &order, &settled] {
      settled = Stop(aOrders, order) && settled;
    });
  }
  reply.mStarts.resize(aOrders.mStarts.size());
  for (std::size_t i = 0; i < aOrders.mStarts.size(); ++i) {
    const cell::StartOrder& order = aOrders.mStarts[i];
    cell::StartResult& result = reply.mStarts[i];
    result.mTask = order.mTask;
    result.mRun = order.mRun;
    calls.emplace_back([this, &aOrders, &order, &result, &settled] {
      result.mOutcome = Start(aOrders, order, settled);
    });
  }
  for (boost::fibers::fiber& call : calls) {
    call.join();
  }
  reply.mAccepted = settled && InForce(aOrders);
  if (reply.mAccepted) {
    mOrdersDone = std::max(mOrdersDone, aOrders.mNumber);
  }
  return reply;
}

bool WorkerControl::InForce(const cell::OrderRequest& aOrders) const
{
  return aOrders.mSession == mSession &&
         aOrders.mIncarnation.MayBeSame(mInfo.mIncarnation);
}

StartOutcome WorkerControl::Start(const cell::OrderRequest& aOrders,
                                  const cell::StartOrder& aOrder,
                                  bool& aSettled)
{
  if (!InForce(aOrders)) {
    return StartOutcome::NotStarted;
  }
  const auto leaseEnd = mLease.LeaseEnd(MonotonicNow());
  if (!leaseEnd) {
    return StartOutcome::NoLease;
  }
  if (mInfo.mDraining) {
    return StartOutcome::Unhealthy;
  }
  if (!mCordonGate.AllowsStarts()) {
    LogChange("start-in-cordoned-domain",
              { { "task", ToString(aOrder.mTask) }, { "run", aOrder.mRun } });
    return StartOutcome::NotStarted;
  }
  if (!HasCapacityFor(aOrder)) {
    return StartOutcome::OverCapacity;
  }
  mThrottleController.OnStart({ aOrder.mTask,
                                aOrder.mLatencyTarget,
                                aOrder.mBestEffort,
                                aOrder.mImage,
                                aOrder.mReserved },
                              aOrder.mRun);
  mStateTracker.OnSent(aOrder.mTask, aOrder.mRun);
  const auto reply = mWorker.Start({ aOrder.mTask,
                                     aOrder.mRun,
                                     aOrder.mPayload,
                                     aOrder.mCheckpoint,
                                     aOrder.mTicket,
                                     *leaseEnd,
                                     mFence },
                                   kOrderTimeout);
  StartOutcome outcome = StartOutcome::NotStarted;
  bool outcomeKnown = true;
  if (reply.ok()) {
    mLiveness.OnCallAnswered(MonotonicNow());
    outcome = reply->mOutcome;
  } else if (VerdictOf(reply.status()) == Verdict::NotRun) {
    outcome = OutcomeOf(reply.status());
  } else if (!Settle(aOrders.mSession)) {
    outcomeKnown = false;
    aSettled = false;
  } else if (mStateTracker.Knows(aOrder.mTask, aOrder.mRun)) {
    outcome = StartOutcome::Started;
  }
  if (outcome == StartOutcome::Started) {
    mStateTracker.OnStarted(aOrder.mTask, aOrder.mRun, MonotonicNow());
  } else if (outcomeKnown) {
    mStateTracker.OnNotStarted(aOrder.mTask, aOrder.mRun);
  }
  LogChange("task-started",
            { { "task", ToString(aOrder.mTask) },
              { "run", aOrder.mRun },
              { "outcome", ToString(outcome) },
              { "settled", outcomeKnown ? 1 : 0 },
              { "error", reply.ok() ? "" : reply.status().ToString() } });
  if (outcome == StartOutcome::Started) {
    if (const auto change = mThrottleController.ThrottleForStart(
          aOrder.mTask, aOrder.mRun, MonotonicNow())) {
      SendThrottle(*change);
    }
  }
  return outcome;
}

bool WorkerControl::HasCapacityFor(const cell::StartOrder& aOrder)
{
  const std::vector<cell::TaskRef> present = mStateTracker.MayBeRunning();
  const Resources& capacity = mInfo.mCapacity;
  if (mGate.Admits(capacity, present, aOrder.mTask, aOrder.mReserved)) {
    return true;
  }
  ++mRefusedOverCapacity;
  LogChange("start-over-capacity",
            { { "task", ToString(aOrder.mTask) },
              { "run", aOrder.mRun },
              { "millicores", aOrder.mReserved.mMillicores },
              { "memoryMb", aOrder.mReserved.mMemoryMb },
              { "ofMillicores", capacity.mMillicores },
              { "ofMemoryMb", capacity.mMemoryMb },
              { "there", present.size() } });
  return false;
}

bool WorkerControl::Stop(const cell::OrderRequest& aOrders,
                         const cell::StopOrder& aOrder)
{
  absl::Status status = absl::AbortedError("the session is no longer in force");
  for (int attempt = 0; attempt < kStopAttempts && InForce(aOrders);
       ++attempt) {
    status = mWorker.Stop({ aOrder.mTask, aOrder.mRun, mFence }, kOrderTimeout);
    if (status.ok()) {
      break;
    }
  }
  LogChange("task-stopped",
            { { "task", ToString(aOrder.mTask) },
              { "run", aOrder.mRun },
              { "outcome", status.ok() ? "ok" : status.ToString() } });
  return status.ok();
}

} // namespace foxtailbarrow::taskagent
