#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <vector>

#include <json/value.h>

#include "apps/agent/AgentSettings.h"
#include "foxtailbarrow/Messages.h"
#include "foxtailbarrow/Worker.h"
#include "src/core/agent/CapacityLedger.h"
#include "src/core/agent/TaskTable.h"
#include "src/core/colocation/PlacementHistory.h"
#include "src/net/FiberGroup.h"
#include "src/net/FiberRuntime.h"
#include "src/net/Waker.h"
#include "src/telemetry/Metrics.h"

namespace foxtailbarrow {

/// Runs CapacityLedger and TaskTable: handles the owners' messages, makes the
/// calls to the worker that the table requests, polls the worker and renews
/// leases. Its fibers run on the runtime's first thread; its methods may be
/// called by any fiber or thread.
class TaskControl
{
public:
  /// Called on changes that must be reported to the owners at once.
  using OnChange = std::function<void()>;

  /// Called with each usage sample. `aUsed`: fraction of the worker's
  /// processors.
  using OnUsage =
    std::function<void(const TaskKey&, double aUsed, Instant aTakenAt)>;

  TaskControl(const AgentSettings& aSettings,
              Incarnation aIncarnation,
              net::FiberRuntime& aRuntime,
              Worker& aWorker,
              Metrics& aMetrics,
              OnChange aOnChange,
              OnUsage aOnUsage);

  void Start();

  /// Ends the fibers. Must not be called on a thread of the runtime.
  void Stop() { mFibers.Stop(); }

  AssignReply Assign(const Assign& aAssign);

  /// Returns when the action is done, or after the worker's timeout with the
  /// current status.
  absl::StatusOr<ControlReply> Control(const Control& aControl);

  void HeartbeatSent(std::uint64_t aSequence, Instant aNow);
  void ApplyReply(std::uint64_t aSequence, const HeartbeatReply& aReply);
  void ApplyContract(const Contract& aContract);
  void RemoveContract(const CustomerId& aCustomer);

  /// The tasks that have started and not ended, for colocation.
  std::vector<ColocatedTask> ColocatedTasks() const;

  /// The maximum weight of tail latency among the service's contracts.
  double LatencyWeight() const;

  void Throttle(const TaskKey& aKey, double aFraction);
  void Evict(const TaskKey& aKey, Reason aReason);

  /// Checkpoints everything and refuses new assignments.
  void Drain();

  /// False until the ledger has been rebuilt from the worker.
  bool Ready() const { return mReady; }
  bool Empty() const;
  bool AllEnded() const;

  /// Fills the task and capacity fields of a heartbeat.
  void Fill(Heartbeat& aHeartbeat) const;

  /// For the state dump.
  Json::Value LedgerJson() const;
  Json::Value TasksJson() const;

private:
  void MakeCalls();
  void Poll();
  void ReportUsage(const WorkerView& aView, Instant aAskedAt);
  void Renew();
  void Perform(const WorkerCall& aCall, Instant aDecidedAt);
  void Call(const CallStart& aCall);
  void Call(const CallStop& aCall);
  void Call(const CallCheckpoint& aCall);
  void Call(const CallThrottle& aCall);
  void Call(const CallAcknowledge& aCall);
  void Call(const CallRenew& aCall);
  void ReportNotRun(const WorkerCall& aCall);
  bool WaitForEnd(const TaskKey& aKey, Duration aTimeout) const;

  const AgentSettings& mSettings;
  Worker& mWorker;
  const OnChange mOnChange;
  const OnUsage mOnUsage;
  mutable std::mutex mMutex; ///< Guards mLedger and mTable; never held in I/O.
  CapacityLedger mLedger;
  TaskTable mTable;
  std::atomic<bool> mReady{ false };
  Waker mCallWaker;
  Waker mViewWaker;
  Waker mRenewWaker;
  FiberGroup mFibers;
  prometheus::Counter& mGranted;
  prometheus::Counter& mRefused;
  prometheus::Counter& mWorkerErrors;
};

} // namespace foxtailbarrow
