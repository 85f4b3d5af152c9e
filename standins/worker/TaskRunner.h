#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "foxtailbarrow/Time.h"
#include "foxtailbarrow/Worker.h"
#include "standins/worker/FakeProgram.h"
#include "standins/worker/TaskEvent.h"

namespace foxtailbarrow::standin {

struct TaskRunnerSettings
{
  Resources mCapacity;
  Duration mUsageLag = std::chrono::seconds(2);
};

/// A worker that simulates its tasks with timers and keeps the guarantees of
/// foxtailbarrow::Worker. The time is passed in; each call first advances all
/// tasks to it. Not thread-safe.
class TaskRunner
{
public:
  explicit TaskRunner(TaskRunnerSettings aSettings);

  /// Makes every task that starts from now on fail immediately.
  void FailAll(bool aFailAll) { mFailAll = aFailAll; }

  /// Ends tasks whose work is done and stops tasks whose lease has expired.
  void Advance(Instant aNow);

  WorkerView View(Instant aNow);
  absl::Status Start(const TaskStart& aStart, Instant aNow);
  absl::Status Renew(std::span<const TaskKey> aKeys,
                     Duration aLease,
                     Instant aNow);
  absl::StatusOr<std::string> Checkpoint(const TaskKey& aKey, Instant aNow);
  absl::Status Throttle(const TaskKey& aKey, double aFraction, Instant aNow);
  absl::Status Stop(const TaskKey& aKey, Instant aNow);
  absl::Status Acknowledge(std::span<const TaskKey> aKeys);

  const std::vector<TaskEvent>& Events() const { return mEvents; }

  /// How often a job started while another epoch of it was running here.
  std::size_t Overlapping() const { return mOverlapping; }

  /// How often a start made the running tasks exceed the capacity.
  std::size_t Overcommitted() const { return mOvercommitted; }

private:
  struct Usage
  {
    Instant mMiddle{};
    Resources mUsed;
  };

  struct Run
  {
    TaskStatus mStatus;
    FakeProgram mProgram;
    Duration mDone{};
    Instant mUpdatedAt{}; ///< Of mDone.
    Instant mLeaseUntil{};
    double mFraction = 1.0;
    std::deque<Usage> mUsage;
  };

  absl::Status CheckStart(const TaskStart& aStart) const;
  std::optional<Instant> EndOf(const Run& aRun) const;
  void UpdateProgress(Run& aRun, Instant aUntil) const;
  void End(Run& aRun, TaskState aState, TaskEventKind aKind, Instant aAt);
  void Record(const Run& aRun, TaskEventKind aKind, Instant aAt);
  bool RunsOtherEpoch(const TaskKey& aKey) const;
  bool IsOvercommitted() const;
  Run* FindRunning(const TaskKey& aKey);

  const TaskRunnerSettings mSettings;
  bool mFailAll = false;
  std::map<TaskKey, Run> mRuns;
  std::map<JobId, Epoch> mHighest; ///< Never erased: fences late starts.
  std::set<TaskKey> mEndedKeys;    ///< Keys that must not run again.
  std::vector<TaskEvent> mEvents;
  std::size_t mOverlapping = 0;
  std::size_t mOvercommitted = 0;
};

} // namespace foxtailbarrow::standin
