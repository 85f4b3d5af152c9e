#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"

#include "foxtailbarrow/Time.h"
#include "src/core/cell/CellMessages.h"
#include "src/core/cell/workers/WorkerState.h"

namespace foxtailbarrow::cell {

/// Fencing token, raised with every change of the agent that gives orders to a
/// worker. A worker ignores orders with a lower fence than the highest
/// received.
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
  /// The leases of the worker's tasks are extended to this, never shortened.
  WorkerTimeMs mLeaseEnd = 0;
  Fence mFence = 0;
};

struct StopCall
{
  TaskRef mTask;
  RunNumber mRun = 0;
  Fence mFence = 0;
};

/// Throttles a task to a percentage of full speed, 100 = not throttled.
struct ThrottleCall
{
  TaskRef mTask;
  RunNumber mRun = 0;
  std::int32_t mPercent = 100;
  Fence mFence = 0;
};

/// Asks which tasks run, and extends their leases.
struct PollCall
{
  Fence mFence = 0;
  std::int64_t mAcknowledged = 0; ///< Ends up to this number may be dropped.
  std::optional<WorkerTimeMs> mLeaseEnd;
  Duration mWait{}; ///< Long poll: how long the worker waits for an end before
                    ///< it answers.
};

struct PollReply
{
  WorkerTimeMs mClock = 0; ///< When the worker answered.
  std::vector<RunningTask> mRunning;
  std::vector<EndedTask> mEnded;
  std::size_t mUnreadable = 0; ///< Rows that were left out.
};

struct StartReply
{
  StartOutcome mOutcome = StartOutcome::Started;
  WorkerTimeMs mClock = 0; ///< 0 = not given.
};

/// The worker that an agent manages; only that agent may call it. Methods
/// suspend the calling fiber. An error without an answer carries MayHaveRun:
/// the call may take effect seconds later, unless a higher fence arrives first.
/// Aborted: the worker is another incarnation than the expected one.
class TaskWorker
{
public:
  virtual ~TaskWorker() = default;

  /// Later orders are valid for this incarnation only.
  virtual void Expect(const WorkerIncarnation& aIncarnation) = 0;

  /// Whether this incarnation answers at the worker's address now, independent
  /// of Expect(). Changes nothing at the worker except its highest fence.
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
