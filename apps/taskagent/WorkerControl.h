#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <span>
#include <vector>

#include <boost/fiber/mutex.hpp>

#include "absl/status/statusor.h"

#include "apps/taskagent/PaceLog.h"
#include "apps/taskagent/UnknownTaskTimer.h"
#include "src/core/cell/CapacityGate.h"
#include "src/core/cell/CellMessages.h"
#include "src/core/cell/LeaseGrant.h"
#include "src/core/cell/PaceGovernor.h"
#include "src/core/cell/TaskWorker.h"
#include "src/core/cell/WorkerBook.h"
#include "src/core/cell/WorkerLiveness.h"

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
  /// `aOnNews` is called when ends arrive that the owner does not know.
  WorkerControl(cell::TaskWorker& aWorker, std::function<void()> aOnNews);

  /// The worker told about itself. Returns true when something changed.
  bool TakeInfo(const cell::WorkerInfo& aInfo);
  const cell::WorkerInfo& Info() const { return mInfo; }

  /// Asks the worker whether a heartbeat of another incarnation is of the one
  /// that answers now; false also without an answer.
  bool IsThere(const cell::WorkerIncarnation& aIncarnation);

  /// Ends all earlier sessions at the worker and returns what is there.
  absl::StatusOr<cell::WorkerState> Attach(cell::Session aSession);

  /// Carries out the orders of the session. Not accepted: another session or
  /// incarnation, or the fate of an order could not be settled; the owner must
  /// attach again.
  cell::OrderReply CarryOut(const cell::OrderRequest& aOrders);

  /// The owner's reply to a report that was sent at `aSentAt`.
  void TakeGrant(cell::Session aSession,
                 Instant aSentAt,
                 Duration aGrant,
                 std::int64_t aAcknowledged);

  void TakePressures(std::span<const cell::Pressure> aPressures)
  {
    mGovernor.TakePressures(aPressures);
  }

  /// Looks at a worker of which nothing is known yet, so that it can be given
  /// leases before the end of a look that waits.
  void Greet();

  /// One look, with the wait for an end. Returns the pause until the next.
  Duration Look();

  WorkerSnapshot Snapshot() const;
  /// Starts that were refused for lack of room so far.
  std::int64_t RefusedOverCapacity() const { return mOverCapacity; }
  const PaceLog& Paces() const { return mPaceLog; }
  /// The session in force; 0 while one begins, since what is known of the
  /// worker may be older than it: a report then would deny what runs.
  cell::Session CurrentSession() const { return mBegun ? mSession : 0; }

private:
  /// False when the orders' session is no longer in force: their fence is dead
  /// at the worker, and what is sent under a newer one would be unknown to its
  /// owner.
  bool InForce(const cell::OrderRequest& aOrders) const;
  cell::StartOutcome Start(const cell::OrderRequest& aOrders,
                           const cell::StartOrder& aOrder,
                           bool& aSettled);
  /// False when the start does not fit the worker's newest capacity.
  bool HasRoom(const cell::StartOrder& aOrder);
  bool Stop(const cell::OrderRequest& aOrders, const cell::StopOrder& aOrder);
  /// Raises the fence and looks, until the worker answers or time runs out.
  bool Settle(cell::Session aSession);
  absl::StatusOr<cell::LookReply> LookOnce(Duration aWait, bool aExtend);
  void SetPaces();
  void SendPaces(std::span<const cell::PaceChange> aChanges, bool aRaises);
  void SendPace(const cell::PaceChange& aChange);
  /// A call under the fence `aUsed` got no answer: it is not carried out any
  /// more once the worker has seen a higher one. Without a fence left in the
  /// session a new one is asked for.
  void RaiseFence(cell::Fence aUsed);
  void NoteCrash();
  void NoteFailedLook(const absl::Status& aStatus);

  cell::TaskWorker& mWorker;
  std::function<void()> mOnNews;
  cell::WorkerInfo mInfo;
  cell::WorkerBook mBook;
  std::deque<cell::CrashedWorker> mCrashes; ///< The newest ones, oldest first.
  cell::CapacityGate mGate;
  std::int64_t mOverCapacity = 0;
  cell::LeaseGrant mLease;
  cell::PaceGovernor mGovernor;
  PaceLog mPaceLog;
  UnknownTaskTimer mUnknownTasks;
  cell::Session mSession = 0;
  bool mBegun = false;          ///< The worker was looked at in this session.
  std::int64_t mOrdersDone = 0; ///< Number of the newest of this session.
  cell::Fence mFence = 0;
  cell::WorkerLiveness mLiveness; ///< Of this incarnation.
  boost::fibers::mutex mSettling; ///< One settles at a time.
};

} // namespace foxtailbarrow::taskagent
