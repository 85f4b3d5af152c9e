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
#include "src/core/cell/CapacityGate.h"
#include "src/core/cell/CellMessages.h"
#include "src/core/cell/LeaseGrant.h"
#include "src/core/cell/TaskWorker.h"
#include "src/core/cell/ThrottleController.h"
#include "src/core/cell/WorkerLiveness.h"
#include "src/core/cell/WorkerStateTracker.h"

namespace foxtailbarrow::taskagent {

/// What the owner is told in a report.
struct WorkerSnapshot
{
  cell::WorkerState mState;
  bool mAnswers = false;
  bool mEnded = false;    ///< Its process is gone.
  Duration mAnsweredAt{}; ///< The newest answer to any call, by this clock.
  Duration mLeaseLeft{};
  std::int64_t mOrdersDone = 0; ///< Of the session in force.
};

/// Gives the orders of the cell's owner to the worker, and looks at it.
///
/// An order that got no answer may be carried out seconds later. It is settled
/// by raising the fence and looking: what the look does not show then never
/// starts. All methods run in fibers of one thread.
class WorkerControl
{
public:
  /// `aOnChange` is called when ends arrive that the owner does not know.
  WorkerControl(cell::TaskWorker& aWorker, std::function<void()> aOnChange);

  /// The worker told about itself. Returns true when something changed.
  bool UpdateInfo(const cell::WorkerInfo& aInfo);
  const cell::WorkerInfo& Info() const { return mInfo; }

  /// Asks the worker whether a heartbeat of another incarnation is of the one
  /// that answers now; false also without an answer.
  bool IsPresent(const cell::WorkerIncarnation& aIncarnation);

  /// Ends all earlier sessions at the worker and returns what is there.
  absl::StatusOr<cell::WorkerState> Attach(cell::Session aSession);

  /// Carries out the orders of the session. Not accepted: another session or
  /// incarnation, or the fate of an order could not be settled; the owner must
  /// attach again.
  cell::OrderReply CarryOut(const cell::OrderRequest& aOrders);

  /// The owner's reply to a report that was sent at `aSentAt`.
  void OnGrant(cell::Session aSession,
               Instant aSentAt,
               Duration aGrant,
               std::int64_t aAcknowledged);

  void SetInterferenceWeights(
    std::span<const cell::InterferenceWeight> aPressures)
  {
    mThrottleController.SetInterferenceWeights(aPressures);
  }

  /// Looks at a worker of which nothing is known yet, so that it can be given
  /// leases before the end of a look that waits.
  void PollFirst();

  /// One look, with the wait for an end. Returns the pause until the next.
  Duration Poll();

  WorkerSnapshot Snapshot() const;
  /// Starts that were refused for lack of room so far.
  std::int64_t RefusedOverCapacity() const { return mOverCapacity; }
  const ThrottleLog& Throttling() const { return mThrottleLog; }
  /// The session in force; 0 while one begins, since what is known of the
  /// worker may be older than it: a report then would deny what runs.
  cell::Session CurrentSession() const { return mSessionReady ? mSession : 0; }

private:
  /// False when the orders' session is no longer in force: their fence is dead
  /// at the worker, and what is sent under a newer one would be unknown to its
  /// owner.
  bool InForce(const cell::OrderRequest& aOrders) const;
  cell::StartOutcome Start(const cell::OrderRequest& aOrders,
                           const cell::StartOrder& aOrder,
                           bool& aSettled);
  /// False when the start does not fit the worker's newest capacity.
  bool HasCapacityFor(const cell::StartOrder& aOrder);
  bool Stop(const cell::OrderRequest& aOrders, const cell::StopOrder& aOrder);
  /// Raises the fence and looks, until the worker answers or time runs out.
  bool Settle(cell::Session aSession);
  absl::StatusOr<cell::PollReply> PollOnce(Duration aWait, bool aExtend);
  void UpdateThrottles();
  void SendThrottles(std::span<const cell::ThrottleChange> aChanges,
                     bool aRaises);
  void SendThrottle(const cell::ThrottleChange& aChange);
  /// A call under the fence `aUsed` got no answer: it is not carried out any
  /// more once the worker has seen a higher one. Without a fence left in the
  /// session a new one is asked for.
  void RaiseFence(cell::Fence aUsed);
  void RecordCrash();
  void OnPollFailed(const absl::Status& aStatus);

  cell::TaskWorker& mWorker;
  std::function<void()> mOnChange;
  cell::WorkerInfo mInfo;
  cell::WorkerStateTracker mStateTracker;
  std::deque<cell::CrashedWorker> mCrashes; ///< The newest ones, oldest first.
  cell::CapacityGate mGate;
  std::int64_t mOverCapacity = 0;
  cell::LeaseGrant mLease;
  cell::ThrottleController mThrottleController;
  ThrottleLog mThrottleLog;
  UnknownTaskTimer mUnknownTasks;
  cell::Session mSession = 0;
  bool mSessionReady = false;   ///< The worker was looked at in this session.
  std::int64_t mOrdersDone = 0; ///< Number of the newest of this session.
  cell::Fence mFence = 0;
  cell::WorkerLiveness mLiveness;    ///< Of this incarnation.
  boost::fibers::mutex mSettleMutex; ///< One settles at a time.
};

} // namespace foxtailbarrow::taskagent
