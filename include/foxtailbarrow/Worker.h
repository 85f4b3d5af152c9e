#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"

#include "foxtailbarrow/Job.h"
#include "foxtailbarrow/Resources.h"
#include "foxtailbarrow/Time.h"

namespace foxtailbarrow {

/// Identifies one run of a job: the job and the epoch of its assignment.
struct TaskKey
{
  JobId mJob;
  Epoch mEpoch = 0;

  // False positive: clang-tidy takes the 0 of the generated comparison for a
  // null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const TaskKey&) const = default;

  template<typename H>
  friend H AbslHashValue(H aState, const TaskKey& aKey)
  {
    return H::combine(std::move(aState), aKey.mJob, aKey.mEpoch);
  }
};

/// Parameters for starting a task on a worker.
struct TaskStart
{
  TaskKey mKey;
  CustomerId mCustomer;
  JobKind mKind = JobKind::Batch;
  Resources mResources; ///< Reserved on the worker while the task exists.
  std::string mProgram;
  std::string mArguments;
  std::string mCheckpoint; ///< Resume from here; empty = from the start.
  Duration mLease{};       ///< The worker stops the task when it expires.

  bool operator==(const TaskStart&) const = default;
};

enum class TaskState : std::uint8_t
{
  Running,
  Finished,     ///< Exited successfully.
  Failed,       ///< Exited with a failure, or could not start.
  Checkpointed, ///< Stopped after writing a checkpoint.
  Stopped,      ///< Stopped on request, or because its lease expired.
};

std::string_view ToString(TaskState aState);
std::optional<TaskState> ParseTaskState(std::string_view aText);

/// State of a task as reported by its worker.
struct TaskStatus
{
  TaskKey mKey;
  TaskState mState = TaskState::Running;
  CustomerId mCustomer;
  JobKind mKind = JobKind::Batch;
  Resources mReserved;
  std::string mCheckpoint; ///< Set when Checkpointed.
  std::string mReason;     ///< Set unless Running or Finished.

  bool operator==(const TaskStatus&) const = default;
};

/// Usage measured over a past window. May arrive late.
struct UsageSample
{
  TaskKey mKey;
  Resources mUsed; ///< Mean over the window.
  Duration mAge{}; ///< Time from the middle of the window to the report.

  bool operator==(const UsageSample&) const = default;
};

/// Capacity of a worker and the tasks on it.
struct WorkerView
{
  Resources mCapacity;
  std::vector<TaskStatus> mTasks; ///< Ended tasks stay until acknowledged.
  std::vector<UsageSample> mUsage;

  bool operator==(const WorkerView&) const = default;
};

/// Interface to the platform's worker. Every method suspends the calling fiber;
/// errors carry a Verdict. The worker refuses an epoch lower than the highest
/// it has received for a job (FailedPrecondition). Starting the same key again
/// succeeds without a second run.
class Worker
{
public:
  virtual ~Worker() = default;

  virtual absl::StatusOr<WorkerView> View() = 0;
  virtual absl::Status Start(const TaskStart& aStart) = 0;

  /// Extends the leases of these tasks to `aLease` from now.
  virtual absl::Status Renew(std::span<const TaskKey> aKeys,
                             Duration aLease) = 0;

  /// Writes a checkpoint, stops the task and returns the checkpoint reference.
  virtual absl::StatusOr<std::string> Checkpoint(const TaskKey& aKey) = 0;

  /// Limits the task to this fraction of its processors, 0 < fraction <= 1.
  virtual absl::Status Throttle(const TaskKey& aKey, double aFraction) = 0;

  virtual absl::Status Stop(const TaskKey& aKey) = 0;

  /// Lets the worker discard ended tasks.
  virtual absl::Status Acknowledge(std::span<const TaskKey> aKeys) = 0;
};

} // namespace foxtailbarrow
