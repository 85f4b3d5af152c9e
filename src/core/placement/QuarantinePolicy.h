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

/// Distinguishes faulty workers from faulty jobs. A worker is quarantined if
/// several jobs failed on it, significantly more often than the same programs
/// fail elsewhere; a program that fails everywhere is no evidence against a
/// worker. A quarantine ends after a pause that doubles each time; the worker
/// is then on probation, with stricter limits. At most a fixed share of the
/// workers is in quarantine.
class QuarantinePolicy
{
public:
  struct Settings
  {
    std::size_t mDistinctJobs = 3; ///< Minimum number of failed jobs.
    double mDeviations = 3.5;      ///< Minimum excess, in standard deviations.
    double mMaxShare = 0.2;        ///< Of all workers; at least one.
    Duration mWindow = std::chrono::minutes(10);
    Duration mPause = std::chrono::minutes(2);
    Duration mMaxPause = std::chrono::hours(1);
  };

  QuarantinePolicy() = default;
  explicit QuarantinePolicy(const Settings& aSettings)
    : mSettings(aSettings)
  {
  }

  void OnSuccess(WorkerSlot aWorker, const ProgramKey& aProgram, Instant aNow);

  /// Returns true if the worker must be quarantined now.
  bool OnFailure(WorkerSlot aWorker,
                 const JobId& aJob,
                 const ProgramKey& aProgram,
                 std::size_t aWorkers,
                 Instant aNow);

  /// Returns the workers whose quarantine ends now; they are on probation.
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
    std::optional<Instant> mQuarantinedUntil; ///< Set while in quarantine.
    Duration mPause{}; ///< Of the last quarantine; 0 = none.
    Instant mWindowEnds{};
  };

  WorkerRecord& RecordOf(WorkerSlot aWorker, Instant aNow);
  void ResetWindow(WorkerRecord& aRecord);
  bool ExceedsFailureBound(const WorkerRecord& aRecord) const;

  Settings mSettings;
  absl::flat_hash_map<WorkerSlot, WorkerRecord> mWorkers;
  absl::flat_hash_map<ProgramKey, Tally> mPrograms; ///< Over all workers.
  std::size_t mQuarantined = 0;
};

} // namespace foxtailbarrow
