#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"

#include "foxtailbarrow/Time.h"
#include "src/core/cell/CellMessages.h"
#include "src/core/cell/WorkerState.h"

namespace foxtailbarrow::cell {

/// Rises with every change of who gives orders to a worker. A worker ignores
/// orders with a lower one than it has seen.
using Fence = std::int64_t;

/// Time on the worker's own monotonic clock, in milliseconds.
using WorkerTimeMs = std::int64_t;

struct StartCall
{
  TaskRef mTask;
  RunNumber mRun = 0;
  std::string mPayload;
  std::string mCheckpoint;
  std::string mTicket; ///< Empty where none is needed.
  /// Leases of the worker's tasks last until then; never shortened by this.
  WorkerTimeMs mLeaseEnd = 0;
  Fence mFence = 0;
};

struct StopCall
{
  TaskRef mTask;
  RunNumber mRun = 0;
  Fence mFence = 0;
};

/// Slows a task down to a share of full speed.
struct ThrottleCall
{
  TaskRef mTask;
  RunNumber mRun = 0;
  std::int32_t mPercent = 100;
  Fence mFence = 0;
};

/// Asks what runs, and extends the leases of all that does.
struct PollCall
{
  Fence mFence = 0;
  std::int64_t mAcknowledged = 0; ///< Ends up to it may be forgotten.
  std::optional<WorkerTimeMs> mLeaseEnd;
  Duration mWait{}; ///< The answer waits so long for an end.
};

struct PollReply
{
  WorkerTimeMs mClock = 0; ///< When the worker answered.
  std::vector<RunningTask> mRunning;
  std::vector<EndedTask> mEnded;
};

struct StartReply
{
  StartOutcome mOutcome = StartOutcome::Started;
  WorkerTimeMs mClock = 0; ///< 0 = not told.
};

/// The worker beside an agent, which alone may call it. Methods suspend the
/// calling fiber. An error without an answer carries MayHaveRun: the call may
/// be carried out seconds later, unless a higher fence arrives first.
/// Aborted: the worker is another incarnation than the one named.
class TaskWorker
{
public:
  virtual ~TaskWorker() = default;

  /// Orders are meant for this incarnation alone.
  virtual void Expect(const WorkerIncarnation& aIncarnation) = 0;

  /// Whether this incarnation answers at the worker's address now, whatever
  /// Expect() named. Changes nothing there but the highest fence seen.
  virtual absl::StatusOr<bool> IsPresent(const WorkerIncarnation& aIncarnation,
                                         Fence aFence,
                                         Duration aTimeout) = 0;

  virtual absl::StatusOr<StartReply> Start(const StartCall& aCall,
                                           Duration aTimeout) = 0;
  virtual absl::Status Stop(const StopCall& aCall, Duration aTimeout) = 0;
  virtual absl::Status Throttle(const ThrottleCall& aCall,
                                Duration aTimeout) = 0;
  virtual absl::StatusOr<PollReply> Poll(const PollCall& aCall,
                                         Duration aTimeout) = 0;
};

} // namespace foxtailbarrow::cell
