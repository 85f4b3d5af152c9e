#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"

#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Time.h"
#include "src/core/placement/SizeLearner.h"
#include "src/core/placement/WorkerIndex.h"

namespace foxtailbarrow {

/// Tells bad workers from bad jobs. A worker is quarantined when several jobs
/// failed there, and far more often than the same programs fail elsewhere; a
/// program that fails everywhere is no evidence against any worker. After a
/// pause the worker is tried again and judged more strictly; the pause doubles
/// each time. At most a fixed share of the workers is in quarantine.
class QuarantinePolicy
{
public:
  struct Settings
  {
    std::size_t mDistinctJobs = 3; ///< Failed before a worker is judged.
    double mDeviations = 3.5;      ///< Standard deviations above expected.
    double mMaxShare = 0.2;        ///< Of all workers, at least one.
    Duration mWindow = std::chrono::minutes(10);
    Duration mPause = std::chrono::minutes(2);
    Duration mMaxPause = std::chrono::hours(1);
  };

  QuarantinePolicy() = default;
  explicit QuarantinePolicy(const Settings& aSettings)
    : mSettings(aSettings)
  {
  }

  void Succeeded(WorkerSlot aWorker, const ProgramKey& aProgram, Instant aNow);

  /// True when the worker must be quarantined now.
  bool Failed(WorkerSlot aWorker,
              const JobId& aJob,
              const ProgramKey& aProgram,
              std::size_t aWorkers,
              Instant aNow);

  /// Workers whose quarantine ends now: they are on probation.
  std::vector<WorkerSlot> EndQuarantines(Instant aNow);

  std::size_t QuarantinedCount() const { return mQuarantined; }

private:
  struct Tally
  {
    double mRuns = 0.0;
    double mFailures = 0.0;
  };

  struct WorkerRecord
  {
    absl::flat_hash_map<ProgramKey, Tally> mPrograms;
    absl::flat_hash_set<JobId> mFailedJobs;
    std::optional<Instant> mUntil; ///< Set while in quarantine.
    Duration mPause{};             ///< Of the last quarantine; 0 = never was.
    Instant mWindowEnds{};
  };

  WorkerRecord& RecordOf(WorkerSlot aWorker, Instant aNow);
  void Forget(WorkerRecord& aRecord);
  bool ExceedsFailureBound(const WorkerRecord& aRecord) const;

  Settings mSettings;
  absl::flat_hash_map<WorkerSlot, WorkerRecord> mWorkers;
  absl::flat_hash_map<ProgramKey, Tally> mPrograms; ///< Over all workers.
  std::size_t mQuarantined = 0;
};

} // namespace foxtailbarrow
