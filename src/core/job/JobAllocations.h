#pragma once

#include <vector>

#include "absl/container/flat_hash_set.h"

#include "foxtailbarrow/Resources.h"
#include "src/core/job/JobEntry.h"
#include "src/core/placement/PlacementLoad.h"
#include "src/core/placement/QuotaTracker.h"
#include "src/core/placement/WorkerIndex.h"

namespace foxtailbarrow {

/// What every job holds: of its customer's contract, of its worker, and of the
/// room that agents have not counted yet. One booking a job.
class JobAllocations
{
public:
  /// Books room that the agent does not know of yet.
  void Reserve(JobEntry& aEntry, WorkerSlot aWorker, const Resources& aSize);

  /// Books a job that was assigned before; its worker may be unknown.
  void Adopt(JobEntry& aEntry,
             std::optional<WorkerSlot> aWorker,
             const Resources& aSize);

  /// The agent's own count now contains the job, with this size.
  void Confirm(JobEntry& aEntry, WorkerSlot aWorker, const Resources& aSize);

  /// The job holds nothing any more. No effect when it held nothing.
  void Release(JobEntry& aEntry);

  /// Jobs booked on the worker, in order of arrival.
  std::vector<JobEntry*> JobsOn(WorkerSlot aWorker) const;

  WorkerIndex& Workers() { return mWorkers; }
  const WorkerIndex& Workers() const { return mWorkers; }
  QuotaTracker& Quotas() { return mQuotas; }
  const QuotaTracker& Quotas() const { return mQuotas; }
  const PlacementLoad& Load() const { return mLoad; }

private:
  void Book(JobEntry& aEntry, const Allocation& aBooking);

  WorkerIndex mWorkers;
  QuotaTracker mQuotas;
  PlacementLoad mLoad;
  std::vector<absl::flat_hash_set<JobEntry*>> mJobsByWorker; ///< By worker.
};

} // namespace foxtailbarrow
