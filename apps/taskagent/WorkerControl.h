#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <span>
#include <vector>

#include <boost/fiber/mutex.hpp>

#include "absl/status/statusor.h"

#include "apps/taskagent/ThrottleLog.h"
#include "apps/taskagent/UnknownTaskTimer.h"
#include "src/core/cell/CellMessages.h"
#include "src/core/cell/throttling/ThrottleController.h"
#include "src/core/cell/workers/CapacityGate.h"
#include "src/core/cell/workers/CordonGate.h"
#include "src/core/cell/workers/LeaseGrant.h"
#include "src/core/cell/workers/TaskWorker.h"
#include "src/core/cell/workers/WorkerLiveness.h"
#include "src/core/cell/workers/WorkerStateTracker.h"

namespace foxtailbarrow::taskagent {

/// State of the worker for a report to the owner.
struct WorkerSnapshot
{
  cell::WorkerState mState;
  bool mAnswers = false;
  bool mEnded = false;    ///< The worker process has ended.
  Duration mAnsweredAt{}; ///< Newest answer to any call, by the agent's clock.
  Duration mLeaseLeft{};
  std::int64_t mOrdersDone = 0; ///< In the current session.
};

/// Carries out the orders of the cell's owner at the worker, and polls it.
///
/// An order without an answer may be carried out seconds later. It is settled
/// by a poll under a higher fence: a task that the reply lacks never starts.
/// All methods run in fibers of one thread.
class WorkerControl
{
public:
  /// `aOnChange` is called when there is something new to report.
  WorkerControl(cell::TaskWorker& aWorker, std::function<void()> aOnChange);

  /// Applies the info of a heartbeat. Returns true if it changed.
  bool UpdateInfo(const cell::WorkerInfo& aInfo);
  const cell::WorkerInfo& Info() const { return mInfo; }

  /// Asks the worker whether it is this incarnation. Returns false without an
  /// answer.
  bool IsPresent(const cell::WorkerIncarnation& aIncarnation);

  /// True if the current incarnation has certainly ended: its address refuses
  /// connections, or another one answers there after it has answered itself.
  bool HasEnded();

  /// Ends all earlier sessions at the worker and returns its state.
  absl::StatusOr<cell::WorkerState> Attach(cell::Session aSession);

  /// Carries out the orders of the session. They are not accepted if they are
  /// for another session or incarnation, or if one could not be settled. The
  /// owner must then attach again.
  cell::OrderReply CarryOut(const cell::OrderRequest& aOrders);

  /// The operator has set or removed the cordon of the worker's failure domain.
  void OnCordonNotice(const cell::CordonNotice& aNotice);
  bool Cordoned() const { return !mCordonGate.AllowsStarts(); }

  /// Applies the owner's reply to a report that was sent at `aSentAt`.
  void OnGrant(cell::Session aSession,
               Instant aSentAt,
               Duration aGrant,
               std::int64_t aAcknowledged);

  void SetInterferenceWeights(
    std::span<const cell::InterferenceWeight> aWeights)
  {
    mThrottleController.SetInterferenceWeights(aWeights);
  }

  /// Polls a new incarnation without a wait. Leases need a sample of its clock,
  /// which would otherwise come only at the end of a poll that waits.
  void PollFirst();

  /// Polls the worker, waiting for the end of a task. Returns the pause before
  /// the next poll.
  Duration Poll();

  WorkerSnapshot Snapshot() const;
  /// Number of starts refused because they exceed the worker's capacity.
  std::int64_t RefusedOverCapacity() const { return mRefusedOverCapacity; }
  /// Incarnations of the worker that were seen.
  std::int64_t Incarnations() const { return mIncarnations; }
  const ThrottleLog& Throttling() const { return mThrottleLog; }
  /// The session in force; 0 while one begins. The known state may then be
  /// older than the session, and a report could lack running tasks.
  cell::Session CurrentSession() const { return mSessionReady ? mSession : 0; }

private:
  /// False if the session of the orders is no longer in force. The worker
  /// rejects its fences, and the owner of a newer session does not know the
  /// orders.
  bool InForce(const cell::OrderRequest& aOrders) const;
  cell::StartOutcome Start(const cell::OrderRequest& aOrders,
                           const cell::StartOrder& aOrder,
                           bool& aSettled);
  /// False if the start does not fit the worker's newest capacity.
  bool HasCapacityFor(const cell::StartOrder& aOrder);
  bool Stop(const cell::OrderRequest& aOrders, const cell::StopOrder& aOrder);
  /// Raises the fence and polls until the worker answers or a timeout expires.
  bool Settle(cell::Session aSession);
  absl::StatusOr<cell::PollReply> PollOnce(Duration aWait, bool aExtend);
  void UpdateThrottles();
  void SendThrottles(std::span<const cell::ThrottleChange> aChanges,
                     bool aRaises);
  void SendThrottle(const cell::ThrottleChange& aChange);
  /// To be called when a call under the fence `aUsed` got no answer. The worker
  /// rejects the call after it has received a higher fence. If the session has
  /// no fence left, a new session is requested.
  void RaiseFence(cell::Fence aUsed);
  void RecordCrash();
  void OnPollFailed(const absl::Status& aStatus);

  cell::TaskWorker& mWorker;
  std::function<void()> mOnChange;
  cell::WorkerInfo mInfo;
  std::int64_t mIncarnations = 0;
  cell::WorkerStateTracker mStateTracker;
  std::deque<cell::CrashedWorker> mCrashes; ///< Newest ones, oldest first.
  cell::CapacityGate mGate;
  cell::CordonGate mCordonGate;
  std::int64_t mRefusedOverCapacity = 0;
  cell::LeaseGrant mLease;
  cell::ThrottleController mThrottleController;
  ThrottleLog mThrottleLog;
  UnknownTaskTimer mUnknownTaskTimer;
  cell::Session mSession = 0;
  bool mSessionReady = false;   ///< The worker was polled in mSession.
  std::int64_t mOrdersDone = 0; ///< Newest order number in mSession.
  cell::Fence mFence = 0;
  std::size_t mUnreadableRows = 0;   ///< In the newest reply to a poll.
  cell::WorkerLiveness mLiveness;    ///< Of the current incarnation.
  boost::fibers::mutex mSettleMutex; ///< Held by Settle().
};

} // namespace foxtailbarrow::taskagent
